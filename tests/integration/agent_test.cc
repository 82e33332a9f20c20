#include "agent_fixture.h"

namespace jayrill {
namespace {

// Guards against a start that does not reach the minion, runs twice when it is
// sent twice, or whose result does not come back.
TEST_F(agent_fixture, RunsAStartOnceAndReportsItsResult) {
  Launch(2);
  const task_result result = RunOne(Order(1, 10));
  EXPECT_EQ(result.outcome, task_outcome::kSucceeded) << result.message;
  EXPECT_EQ(result.body, R"({"task":1,"echo":{"work_ms":10}})");
  entry.Send({config_revision{1}, {}, {Order(1, 10), Order(2, 10)}});
  EXPECT_EQ(ResultOf(2).outcome, task_outcome::kSucceeded);
  EXPECT_EQ(minion->record().total(), 2U);
}

}  // namespace
}  // namespace jayrill
