#include "jayrill/placement/minion_health.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <memory>
#include <string>

#include "jayrill/entry/agent_session.h"
#include "jayrill/placement/placement_strategy.h"

namespace jayrill {
namespace {

constexpr std::chrono::milliseconds kStep{50};

/// One way in which the trial task of a blocked minion ends.
struct trial_end {
  std::string name;
  std::function<void(agent_session&, start_number, steady_time)> end;
};

agent_hello Hello(std::uint64_t epoch, start_number last_accepted) {
  agent_hello hello;
  hello.agent_id = "a1";
  hello.process = incarnation{7};
  hello.epoch = connection_epoch{epoch};
  hello.last_accepted = last_accepted;
  hello.status.service = "quotes";
  hello.status.slots = 4;
  return hello;
}

void End(agent_session& session,
         start_number number,
         task_outcome outcome,
         steady_time now) {
  session.Take(number);
  task_result result;
  result.number = number;
  result.outcome = outcome;
  session.OnOutcome(result, now);
}

std::function<void(agent_session&, start_number, steady_time)> EndWith(
    task_outcome outcome) {
  return [outcome](agent_session& session, start_number number,
                   steady_time now) { End(session, number, outcome, now); };
}

class trial_end_test : public testing::TestWithParam<trial_end> {};

// Guards against a minion that never gets tasks again because its trial ended
// in a way that the circuit breaker does not handle.
TEST_P(trial_end_test, AnotherTrialFollowsWithinTheLongestDelay) {
  manual_clock time;
  agent_session session(agent_handle{1}, "a1");
  ASSERT_TRUE(
      session.Connect(Hello(1, {}), connection_id{1}, time.Now(), false));
  for (std::uint32_t i = 0; i < minion_health::kFailuresToBlock; ++i) {
    End(session,
        session.Send({{incarnation{9}, i + 1}, 0}, time.Now(),
                     std::chrono::milliseconds(50)),
        task_outcome::kFailed, time.Now());
  }
  ASSERT_FALSE(session.IsUsable(config_revision{}, time.Now()));
  std::uint64_t epoch = 1;
  for (std::uint64_t round = 0; round < 10; ++round) {
    const steady_time begin = time.Now();
    while (!session.IsUsable(config_revision{}, time.Now())) {
      time.Advance(kStep);
      ASSERT_LE(time.Now() - begin, minion_health::kLongestDelay + kStep);
    }
    const start_number number =
        session.Send({{incarnation{9}, 100 + round}, 0}, time.Now(),
                     std::chrono::milliseconds(50));
    GetParam().end(session, number, time.Now());
    if (!session.connected()) {
      ++epoch;
      ASSERT_TRUE(session.Connect(Hello(epoch, number), connection_id{epoch},
                                  time.Now(), false));
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    all_ends,
    trial_end_test,
    testing::Values(trial_end{"succeeded", EndWith(task_outcome::kSucceeded)},
                    trial_end{"failed", EndWith(task_outcome::kFailed)},
                    trial_end{"unknown", EndWith(task_outcome::kUnknown)},
                    trial_end{"not_run", EndWith(task_outcome::kNotRun)},
                    trial_end{
                        "session_lost",
                        [](agent_session& session, start_number, steady_time) {
                          session.Close();
                        }}),
    [](const auto& param) { return param.param.name; });

// Guards against a minion that gets no trial task as long as a faster one has a
// free slot.
TEST(trial_placement_test, AMinionThatIsDueForATrialComesFirst) {
  const auto strategy = MakePlacementStrategy("jayrill", random_source(1));
  ASSERT_TRUE(strategy);
  std::array<minion_view, 2> views;
  views[0] = {.id = 1, .slots = 4, .start_limit = 4, .slowness = 0.5};
  views[1] = {.id = 2,
              .slots = 4,
              .start_limit = 1,
              .is_trial_due = true,
              .slowness = 2.0};
  task_demand task{std::chrono::milliseconds(50), {}, {}, false};
  EXPECT_EQ((*strategy)->Choose(task, views), 1U);
  task.has_failed = true;
  EXPECT_EQ((*strategy)->Choose(task, views), 0U);
}

// Guards against a minion that gets no tasks because another one is estimated
// to be slightly faster.
TEST(idle_minion_test, SimilarMinionsTakeTurns) {
  const auto strategy = MakePlacementStrategy("jayrill", random_source(1));
  ASSERT_TRUE(strategy);
  manual_clock time;
  std::array<minion_view, 2> views;
  views[0] = {.id = 1, .slots = 4, .start_limit = 5, .slowness = 0.97};
  views[1] = {.id = 2, .slots = 4, .start_limit = 5, .slowness = 1.0};
  const task_demand task{std::chrono::milliseconds(50), {}, {}, false};
  std::array<int, 2> starts{};
  for (int i = 0; i < 10; ++i) {
    const auto chosen = (*strategy)->Choose(task, views);
    ASSERT_TRUE(chosen);
    time.Advance(kStep);
    views[*chosen].last_start = time.Now();
    ++starts[*chosen];
  }
  EXPECT_EQ(starts[0], 5);
  EXPECT_EQ(starts[1], 5);
}

// Guards against a minion that gets no tasks because it was slow in the past.
TEST(idle_minion_test, AnOldSlownessIsForgotten) {
  manual_clock time;
  agent_session session(agent_handle{1}, "a1");
  session.SetSlowness(3.0, time.Now());
  EXPECT_NEAR(session.Slowness(time.Now()), 3.0, 0.01);
  time.Advance(std::chrono::seconds(30));
  EXPECT_LT(session.Slowness(time.Now()), 1.1);
}

// Guards against blocking a healthy minion because callers cancel their jobs.
TEST(cancelled_run_test, SaysNothingAboutTheMinion) {
  manual_clock time;
  agent_session session(agent_handle{1}, "a1");
  ASSERT_TRUE(
      session.Connect(Hello(1, {}), connection_id{1}, time.Now(), false));
  for (std::uint64_t i = 0; i < 20; ++i) {
    const start_number number =
        session.Send({{incarnation{9}, i}, 0}, time.Now(), kStep);
    session.Take(number);
    task_result result;
    result.outcome = task_outcome::kInterrupted;
    result.reason = not_run_reason::kCancelled;
    session.OnOutcome(result, time.Now());
  }
  EXPECT_TRUE(session.IsUsable(config_revision{}, time.Now()));
}

// Guards against an entry that has no usable minions for a second after a
// configuration change, because agents received it from other entries first.
TEST(stale_config_test, TheMinionGetsWorkOnceTheEntryHasTheNewer) {
  manual_clock time;
  agent_session session(agent_handle{1}, "a1");
  ASSERT_TRUE(
      session.Connect(Hello(1, {}), connection_id{1}, time.Now(), false));
  const start_number number =
      session.Send({{incarnation{9}, 1}, 0}, time.Now(), kStep);
  session.Take(number);
  task_result refused;
  refused.outcome = task_outcome::kNotRun;
  refused.reason = not_run_reason::kStaleConfig;
  session.OnOutcome(refused, time.Now());
  minion_status status = Hello(1, {}).status;
  status.revision = config_revision{7};
  session.SetStatus(status, time.Now());
  EXPECT_FALSE(session.IsUsable(config_revision{6}, time.Now()));
  EXPECT_TRUE(session.IsUsable(config_revision{7}, time.Now()));
}

// Guards against a session that counts as lost at its first start, because the
// agent had nothing to report before.
TEST(session_silence_test, BeginsWithTheFirstStart) {
  manual_clock time;
  agent_session session(agent_handle{1}, "a1");
  ASSERT_TRUE(
      session.Connect(Hello(1, {}), connection_id{1}, time.Now(), false));
  time.Advance(std::chrono::milliseconds(900));
  session.Send({{incarnation{9}, 1}, 0}, time.Now(), kStep);
  EXPECT_EQ(session.SilentSince(), time.Now());
  time.Advance(kStep);
  session.Send({{incarnation{9}, 2}, 0}, time.Now(), kStep);
  EXPECT_EQ(session.SilentSince(), time.Now() - kStep);
}

}  // namespace
}  // namespace jayrill
