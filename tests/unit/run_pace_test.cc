#include "jayrill/agent/run_pace.h"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "agent_core_rig.h"

namespace jayrill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTypical{100};

struct pace_case {
  const char* name;
  std::vector<milliseconds> ended;    ///< Run times of ended runs, in order.
  std::vector<milliseconds> elapsed;  ///< Of runs that have not ended.
  seconds idle;                       ///< Since the last run has ended.
  double at_least;
  double at_most;  ///< 0: the slowness must be unknown.
};

class run_pace_test : public testing::TestWithParam<pace_case> {};

// Guards against a minion that has turned slow and is seen as such only after
// many runs, and against one that is avoided for a single long run.
TEST_P(run_pace_test, FollowsTheRuns) {
  const steady_time now(std::chrono::hours(1));
  run_pace pace;
  for (const milliseconds run_time : GetParam().ended) {
    pace.OnRunEnded(run_time, kTypical, now);
  }
  std::vector<run_pace::unfinished_run> running;
  for (const milliseconds elapsed : GetParam().elapsed) {
    running.push_back({elapsed, kTypical});
  }
  const auto slowness = pace.Slowness(now + GetParam().idle, running);
  ASSERT_EQ(slowness.has_value(), GetParam().at_most > 0);
  if (slowness) {
    EXPECT_GE(*slowness, GetParam().at_least);
    EXPECT_LE(*slowness, GetParam().at_most);
  }
}

constexpr milliseconds kSlow = 6 * kTypical;
const std::vector<milliseconds> kUsual(8, kTypical);

INSTANTIATE_TEST_SUITE_P(
    table,
    run_pace_test,
    testing::Values(
        pace_case{"nothing_ran", {}, {}, seconds(0), 0, 0},
        pace_case{"usual_runs", kUsual, {}, seconds(0), 0.9, 1.1},
        pace_case{"four_slow_runs",
                  {kTypical, kTypical, kSlow, kSlow, kSlow, kSlow},
                  {},
                  seconds(0),
                  2.5,
                  6},
        pace_case{"overdue_runs",
                  kUsual,
                  {3 * kTypical, 3 * kTypical, 3 * kTypical, 3 * kTypical},
                  seconds(0),
                  1.8,
                  3},
        pace_case{"one_overdue_run",
                  kUsual,
                  {10 * kTypical, kTypical, kTypical},
                  seconds(0),
                  0.9,
                  2},
        pace_case{"runs_within_their_time",
                  {kSlow, kSlow, kSlow, kSlow},
                  {kTypical, kTypical},
                  seconds(0),
                  2.5,
                  6},
        pace_case{"last_run_long_ago", {kSlow, kSlow}, {}, seconds(6), 0, 0}),
    [](const auto& row) { return row.param.name; });

// Guards against a malformed time of a run that would make the slowness
// infinite.
TEST(run_pace_bad_input, IgnoresRunsWithoutTimes) {
  const steady_time now(std::chrono::hours(1));
  run_pace pace;
  pace.OnRunEnded(microseconds(0), kTypical, now);
  pace.OnRunEnded(kTypical, microseconds(0), now);
  const std::vector<run_pace::unfinished_run> running{{kTypical, {}}};
  EXPECT_FALSE(pace.Slowness(now, running).has_value());
}

struct percent_case {
  double slowness;
  std::uint32_t percent;
};

class rounded_percent_test : public testing::TestWithParam<percent_case> {};

// Guards against a report for each run because the value changes a little, and
// against an unbounded value.
TEST_P(rounded_percent_test, UsesSteps) {
  EXPECT_EQ(RoundedPercent(GetParam().slowness), GetParam().percent);
}

INSTANTIATE_TEST_SUITE_P(table,
                         rounded_percent_test,
                         testing::Values(percent_case{1.0, 100},
                                         percent_case{1.09, 100},
                                         percent_case{1.2, 125},
                                         percent_case{6.0, 596},
                                         percent_case{0.0, 11},
                                         percent_case{1e9, 10842}));

/// Runs \p count starts with the typical run time \p typical one after the
/// other, each taking \p run_time.
void RunStarts(core_rig& rig,
               std::uint64_t first,
               std::uint64_t count,
               milliseconds typical,
               milliseconds run_time) {
  for (std::uint64_t number = first; number < first + count; ++number) {
    start_request order = Order(number);
    order.typical_run = typical;
    rig.Send({order});
    const std::uint64_t call = rig.host.calls.back().id;
    task_result result;
    result.outcome = task_outcome::kSucceeded;
    result.run_time = run_time;
    rig.core.OnResult(call, result);
    rig.core.OnSlotFree(call);
  }
}

// Guards against entries that each have to learn by their own runs that a
// minion has turned slow, which in a large fleet takes seconds.
TEST(reported_slowness, IsInTheStatusAfterAFewRuns) {
  core_rig rig;
  EXPECT_EQ(rig.core.Status().slowness_percent, 0U);
  RunStarts(rig, 1, 4, kTypical, kSlow);
  EXPECT_GE(rig.core.Status().slowness_percent, 250U);
}

// Guards against a new minion that is avoided for the slowness of the one that
// it replaces.
TEST(reported_slowness, IsForgottenWithTheMinion) {
  core_rig rig;
  RunStarts(rig, 1, 4, kTypical, kSlow);
  announcement replacement = Minion(1);
  replacement.instance = "m-2";
  rig.core.Announce(replacement);
  EXPECT_EQ(rig.core.Status().slowness_percent, 0U);
}

}  // namespace
}  // namespace jayrill
