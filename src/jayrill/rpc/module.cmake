# dispatch.capnp.h and dispatch.capnp.c++ are committed. Generate them with
# `capnp compile -oc++ dispatch.capnp` after each change of the schema.
add_library(jayrill_wire STATIC ${CMAKE_CURRENT_LIST_DIR}/dispatch.capnp.c++)
target_include_directories(jayrill_wire PUBLIC ${PROJECT_SOURCE_DIR}/src)
target_link_libraries(jayrill_wire PUBLIC CapnProto::capnp-rpc)

jayrill_module(rpc
  SOURCES batched_stream.cc codec.cc
  DEPENDS jayrill_wire jayrill_config jayrill_job)
