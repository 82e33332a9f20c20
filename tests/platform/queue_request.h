#ifndef JAYRILL_TESTS_PLATFORM_QUEUE_REQUEST_H_
#define JAYRILL_TESTS_PLATFORM_QUEUE_REQUEST_H_

#include <string>

#include "platform/platform.h"

namespace jayrill::platform {

/// A configuration with the queues /p/ and /p/long/.
inline constexpr char kConfig[] =
    R"({"version":7,"routes":[)"
    R"({"name":"r-a","host":"h.example","prefix":"/p/","service":"s1",)"
    R"("priority":1,"max_attempts":2,"slack_factor":1.6,"target_latency_ms":60},)"
    R"({"name":"r-b","host":"h.example","prefix":"/p/long/","service":"s2"}],)"
    R"("services":[],"limits":{}})";

inline cluster_config TestConfig() {
  return *config_format().Translate({{"op/config", kConfig}});
}

/// \returns a POST of \p body by a client that waits 1.8 s.
inline http_request Request(const std::string& path, const std::string& body) {
  http_request request;
  request.method = "Post";
  request.path = path;
  request.headers = {{"host", "h.example"}, {"x-deadline-ms", "1800"}};
  request.body = QByteArray::fromStdString(body);
  return request;
}

}  // namespace jayrill::platform

#endif  // JAYRILL_TESTS_PLATFORM_QUEUE_REQUEST_H_
