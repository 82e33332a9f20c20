jayrill_module(entry
  SOURCES admission.cc agent_connection.cc agent_server.cc agent_session.cc
          agent_table.cc dispatch_service.cc dispatcher.cc dispatcher_jobs.cc
          dispatcher_results.cc dispatcher_sending.cc entry_port_server.cc
          job_table.cc service_pool.cc task_placer.cc
  DEPENDS jayrill_placement jayrill_rpc jayrill_session jayrill_config
          glog::glog)
