jayrill_module(claim
  SOURCES claim_ledger.cc claim_shard.cc request_key.cc
          internal/shard_writer.cc
  DEPENDS jayrill_base jayrill_store Qt6::Core glog::glog)
