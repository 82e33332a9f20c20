jayrill_module(agent
  SOURCES agent_core.cc agent_core_sessions.cc agent_core_starts.cc
          agent_core_status.cc agent_process.cc announce_api.cc announcement.cc
          crash_log.cc end_proof.cc entry_link.cc entry_link_reports.cc
          entry_search.cc entry_selection.cc entry_session.cc leased_minion.cc
          leased_minion_ends.cc leased_minion_orders.cc leased_minion_reports.cc
          minion_admission.cc minion_client.cc out_list_refresh.cc
          report_schedule.cc room_share.cc run_pace.cc run_queue.cc
          running_calls.cc internal/agent_loop.cc internal/counters_text.cc
          internal/minion_call.cc
  DEPENDS jayrill_rpc jayrill_session jayrill_config jayrill_job
          jayrill_store glog::glog
          Qt6::Core Qt6::Network Qt6::HttpServer)
