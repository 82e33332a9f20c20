jayrill_module(entry
  SOURCES answer_cache.cc guarded_socket.cc http_exchange.cc http_framer.cc
          http_guard.cc http_server.cc job_api.cc job_refusals.cc
          request_key.cc
  DEPENDS jayrill_config jayrill_job jayrill_metrics glog::glog
          Qt6::Core Qt6::Network Qt6::HttpServer)
