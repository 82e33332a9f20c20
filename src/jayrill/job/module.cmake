jayrill_module(job
  SOURCES job_collector.cc job_outcome.cc task_result.cc
  DEPENDS jayrill_base)
