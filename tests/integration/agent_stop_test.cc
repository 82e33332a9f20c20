#include "agent_fixture.h"

namespace jayrill {
namespace {

// Guards against a graceful stop that interrupts a running task, loses its
// result, or gives no result for queued starts.
TEST_F(agent_fixture, StopsGracefully) {
  Launch(1);
  bool stopped = false;
  agent->OnStopped([&stopped] { stopped = true; });
  entry.Send({config_revision{1}, {}, {Order(1, 600), Order(2, 0)}});
  ASSERT_TRUE(WaitFor([&] { return minion->running() == 1; }));
  agent->Stop();
  EXPECT_EQ(ResultOf(2).reason, not_run_reason::kDraining);
  EXPECT_FALSE(stopped);
  EXPECT_EQ(ResultOf(1).outcome, task_outcome::kSucceeded);
  EXPECT_TRUE(WaitFor([&] { return stopped; }));
  EXPECT_EQ(entry.Record().goodbyes, 1);
}

}  // namespace
}  // namespace jayrill
