jayrill_module(sample
  SOURCES execution_record.cc sample_backend.cc sample_fault.cc
          internal/sample_server.cc
  DEPENDS jayrill_base Qt6::Core Qt6::Network Qt6::HttpServer)
