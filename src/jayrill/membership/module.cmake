jayrill_module(membership
  SOURCES entry_record.cc membership.cc team_shares.cc
  DEPENDS jayrill_base jayrill_config jayrill_store Qt6::Core glog::glog)
