jayrill_module(config
  SOURCES cluster_config.cc
  DEPENDS jayrill_base Qt6::Core)
