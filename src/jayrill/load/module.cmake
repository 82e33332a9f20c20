jayrill_module(load
  SOURCES ideal.cc job_request.cc load_report.cc load_runner.cc
          log_histogram.cc metric_totals.cc poisson_arrivals.cc
          report_format.cc request_pool.cc trace.cc weighted_names.cc
  DEPENDS jayrill_base jayrill_job absl::strings absl::str_format Qt6::Core
          Qt6::Network)
