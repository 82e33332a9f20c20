# The port is header only until its first implementation.
add_library(jayrill_store INTERFACE)
target_link_libraries(jayrill_store INTERFACE jayrill_base)
