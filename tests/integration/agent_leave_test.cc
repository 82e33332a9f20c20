#include "agent_fixture.h"

namespace jayrill {
namespace {

// Guards against starts that are sent to a leaving minion, and against a
// running task that is interrupted because its minion leaves.
TEST_F(agent_fixture, GivesALeavingMinionNothingNew) {
  Launch(1);
  entry.Send({config_revision{1}, {}, {Order(1, 300), Order(2, 0)}});
  ASSERT_TRUE(WaitFor([&] { return minion->running() == 1; }));
  bool stopped = false;
  minion->Stop([&stopped] { stopped = true; });
  EXPECT_EQ(ResultOf(2).reason, not_run_reason::kDraining);
  EXPECT_EQ(RunOne(Order(3, 0)).reason, not_run_reason::kDraining);
  EXPECT_EQ(ResultOf(1).outcome, task_outcome::kSucceeded);
  EXPECT_TRUE(WaitFor([&] { return stopped; }));
  EXPECT_EQ(minion->record().total(), 1U);
}

}  // namespace
}  // namespace jayrill
