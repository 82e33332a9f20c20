#include <chrono>
#include <cstdint>
#include <utility>

#include "agent_store_fixture.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

/// Longer than the test.
constexpr milliseconds kHeartbeat{60'000};
/// Time between two status reports that an entry with little processor time
/// asks for.
constexpr milliseconds kStatus{1000};

class quiet_agent_test : public agent_store_fixture {
 protected:
  /// Waits until the agent has reported nothing for \p quiet.
  bool WaitForQuiet(milliseconds quiet) {
    steady_time since = time.Now();
    std::uint64_t reports = 0;
    return WaitFor([&] {
      if (std::exchange(reports, entry.Record().reports) != reports) {
        since = time.Now();
      }
      return time.Now() - since >= quiet;
    });
  }

  bool WaitForReports(std::uint64_t count) {
    const std::uint64_t before = entry.Record().reports;
    return WaitFor([&] { return entry.Record().reports >= before + count; });
  }
};

// Guards against the first jobs after a quiet time that come too late: an entry
// heard of the load of an agent only a status interval after the agent had
// asked it about data centres that are out.
TEST_F(quiet_agent_test, AQuestionDoesNotPutOffTheNextStatus) {
  entry.SetIntervals(kHeartbeat, kStatus);
  agent_settings settings;
  settings.run_heartbeat = kHeartbeat;
  LaunchWithStore(settings);
  // The agent asks twice before it reads the store, which confirms the data
  // centres for so long that no third question follows soon.
  ASSERT_TRUE(WaitForQuiet(kStatus));
  ASSERT_TRUE(WaitForReports(2));
  const steady_time sent = time.Now();
  entry.Send({config_revision{1}, {}, {Order(1, 3000)}});
  ASSERT_TRUE(WaitFor([&] { return entry.Record().status.busy == 1; }));
  EXPECT_LT(time.Now() - sent, kStatus * 3 / 4);
}

}  // namespace
}  // namespace jayrill
