jayrill_module(entry
  SOURCES admission.cc agent_connection.cc agent_server.cc agent_session.cc
          agent_table.cc answer_cache.cc crash_table.cc dispatch_metrics.cc
          dispatch_service.cc dispatcher.cc dispatcher_crashes.cc
          dispatcher_jobs.cc dispatcher_results.cc dispatcher_sending.cc
          entry_port_server.cc entry_process.cc entry_status.cc job_api.cc
          job_format.cc job_refusals.cc job_table.cc ledger_claims.cc
          operator_api.cc operator_auth.cc operator_change.cc service_pool.cc
          task_placer.cc estimates/start_estimates.cc expiry/settling.cc
          http/entry_process_routes.cc http/guarded_socket.cc
          http/http_exchange.cc http/http_framer.cc http/http_guard.cc
          http/http_server.cc start_up/start_up_wait.cc
  DEPENDS jayrill_placement jayrill_rpc jayrill_session jayrill_config
          jayrill_job jayrill_metrics jayrill_claim jayrill_membership
          jayrill_store glog::glog Qt6::Core Qt6::Network Qt6::HttpServer)
