jayrill_module(base
  SOURCES clock.cc endpoint.cc error.cc hash.cc ids.cc name.cc random_source.cc work_queue.cc
  DEPENDS tl::expected Boost::boost PkgConfig::URCU PkgConfig::XXHASH)
