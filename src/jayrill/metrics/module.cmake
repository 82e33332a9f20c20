jayrill_module(metrics
  SOURCES duration_histogram.cc metric_registry.cc
  DEPENDS jayrill_base)
