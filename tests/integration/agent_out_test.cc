#include "agent_fixture.h"

namespace jayrill {
namespace {

// Guards against starts in a data centre that operators have taken out of
// service. A task that runs already is finished.
TEST_F(agent_fixture, StartsNothingInADataCentreThatIsOut) {
  Launch(1);
  entry.Send({config_revision{1}, {}, {Order(1, 300), Order(2, 0)}});
  ASSERT_TRUE(WaitFor([&] { return minion->record().total() == 1; }));
  entry.Configure(Config(2, "east"));
  EXPECT_EQ(ResultOf(2).reason, not_run_reason::kDataCentreOut);
  EXPECT_EQ(RunOne(Order(3, 0), 2).reason, not_run_reason::kDataCentreOut);
  EXPECT_EQ(ResultOf(1).outcome, task_outcome::kSucceeded);
  EXPECT_EQ(minion->record().total(), 1U);
}

// Guards against starts that were placed under an old configuration, and
// against an entry that does not receive the newer one from the agent.
TEST_F(agent_fixture, RefusesStaleConfigAndHandsOverTheNewer) {
  Launch(1);
  fake_entry second_entry(2);
  second_entry.SetWelcome(Config(3), false);
  entry.Heartbeat({second_entry.address()});  // Makes the agent dial it.
  ASSERT_TRUE(WaitFor([&] {
    return !second_entry.Record().hellos.empty() &&
           entry.Record().status.revision == config_revision{3};
  }));
  const task_result refused = RunOne(Order(1, 0), 1);
  EXPECT_EQ(refused.reason, not_run_reason::kStaleConfig);
  EXPECT_TRUE(WaitFor(
      [&] { return entry.Record().newest_config == config_revision{3}; }));
  EXPECT_EQ(RunOne(Order(2, 0), 3).outcome, task_outcome::kSucceeded);
  EXPECT_EQ(minion->record().total(), 1U);
}

// Guards against running starts that waited while the agent was paused. After a
// pause the agent must reconnect and receive the current configuration before
// it accepts a start.
TEST_F(agent_fixture, ReconnectsAfterAPause) {
  Launch(1);
  entry.Send({config_revision{1}, {}, {Order(1, 500), Order(2, 0)}});
  ASSERT_TRUE(WaitFor([&] { return minion->running() == 1; }));
  entry.SetWelcome(Config(2, "east"), true);
  time.Shift(std::chrono::milliseconds(1500));
  EXPECT_EQ(ResultOf(2).reason, not_run_reason::kPaused);
  ASSERT_TRUE(WaitFor([&] { return entry.Record().hellos.size() == 2; }));
  EXPECT_GT(entry.Record().hellos.back().epoch,
            entry.Record().hellos.front().epoch);
  EXPECT_EQ(RunOne(Order(3, 0), 2).reason, not_run_reason::kDataCentreOut);
  EXPECT_EQ(minion->record().total(), 1U);
}

}  // namespace
}  // namespace jayrill
