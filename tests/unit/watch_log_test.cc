#include "jayrill/store/watch_log.h"

#include <gtest/gtest.h>

#include <string>

#include "recording_sink.h"

namespace jayrill {
namespace {

// Guards against filling the log with retries while the store cannot be
// reached, and against not logging that the watch works again.
TEST(watch_log_test, WritesOneLineForTheLossAndOneForTheReturn) {
  recording_sink seen;
  watch_log log("config", "configuration");
  const error failure{error_kind::kUnavailable, "status 503", "none"};
  log.OnWorking();
  for (int outage = 0; outage < 2; ++outage) {
    for (int i = 0; i < 50; ++i) {
      log.OnInterrupted(failure);
    }
    log.OnWorking();
    log.OnWorking();
  }
  ASSERT_EQ(seen.lines.size(), 4U);
  EXPECT_NE(seen.lines[0].find("status 503"), std::string::npos);
  EXPECT_EQ(seen.lines[1],
            "config: the watch of the configuration works again");
}

}  // namespace
}  // namespace jayrill
