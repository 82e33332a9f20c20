jayrill_module(load
  SOURCES ideal.cc poisson_arrivals.cc trace.cc weighted_names.cc
  DEPENDS jayrill_base jayrill_job absl::strings Qt6::Core Qt6::Network)
