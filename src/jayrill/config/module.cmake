jayrill_module(config
  SOURCES cluster_config.cc config_change.cc config_codec.cc config_store.cc
          translated_config_source.cc
          internal/config_json.cc
  DEPENDS jayrill_base jayrill_store Qt6::Core)
