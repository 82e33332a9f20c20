jayrill_module(job
  SOURCES job_codec.cc job_collector.cc job_outcome.cc task_result.cc
  DEPENDS jayrill_base Qt6::Core)
