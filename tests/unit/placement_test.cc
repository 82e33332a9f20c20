#include "jayrill/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace jayrill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

minion_view Minion(std::uint32_t outstanding,
                   double slowness,
                   microseconds time_until_free = microseconds(0)) {
  minion_view view;
  view.slots = 2;
  view.start_limit = 3;
  view.outstanding = outstanding;
  view.slowness = slowness;
  view.time_until_free = time_until_free;
  return view;
}

// Guards against the pattern of a large fleet: many entries, each with the same
// outdated view of the minions, that all send their next task to the same one.
TEST(shared_view_test, EntriesWithTheSameViewSpreadTheirTasks) {
  constexpr int kEntries = 55;
  constexpr std::size_t kMinions = 40;
  std::vector<minion_view> minions;
  for (std::size_t i = 0; i < kMinions; ++i) {
    minions.push_back(Minion(0, 1.3 + 0.002 * static_cast<double>(i)));
  }
  std::vector<int> starts(kMinions);
  for (int entry = 0; entry < kEntries; ++entry) {
    auto strategy = MakePlacementStrategy(
        "jayrill", random_source(static_cast<std::uint64_t>(entry) + 1));
    const auto choice =
        (*strategy)->Choose({milliseconds(60), milliseconds(150)}, minions);
    ASSERT_TRUE(choice.has_value());
    ++starts[*choice];
  }
  EXPECT_LE(*std::max_element(starts.begin(), starts.end()), 6);
}

struct choice_case {
  const char* name;
  std::vector<minion_view> minions;
  std::optional<std::size_t> expected;
  microseconds slack{};
  microseconds waited{};
};

class earliest_finish_test : public testing::TestWithParam<choice_case> {};

// Guards against giving a task to a slow minion when a busy fast one would
// finish it sooner, and against waiting when a free minion would finish it
// sooner.
TEST_P(earliest_finish_test, Chooses) {
  auto strategy = MakePlacementStrategy("jayrill", random_source(1));
  ASSERT_TRUE(strategy.has_value());
  EXPECT_EQ((*strategy)->Choose(
                {milliseconds(100), GetParam().slack, GetParam().waited},
                GetParam().minions),
            GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    earliest_finish_test,
    testing::Values(
        choice_case{"nothing", {}, std::nullopt},
        choice_case{"fastest_free", {Minion(0, 2.0), Minion(0, 1.0)}, 1},
        choice_case{"slow_free_beats_long_wait",
                    {Minion(0, 2.0), Minion(2, 1.0, milliseconds(150))},
                    0},
        choice_case{"waits_for_fast",
                    {Minion(0, 3.0), Minion(2, 1.0, milliseconds(50))},
                    std::nullopt},
        choice_case{"slack_uses_the_slow",
                    {Minion(0, 1.0), Minion(0, 3.0), Minion(0, 2.0)},
                    2,
                    milliseconds(250)},
        choice_case{"slack_does_not_wait",
                    {Minion(0, 1.0), Minion(2, 3.0, milliseconds(1))},
                    0,
                    milliseconds(900)},
        choice_case{
            "looks_ahead_when_nothing_is_free",
            {Minion(2, 3.0, milliseconds(5)), Minion(2, 1.0, milliseconds(5))},
            1},
        choice_case{"no_look_ahead_beside_a_free_slot",
                    {Minion(0, 3.0), Minion(2, 1.0, milliseconds(5))},
                    std::nullopt},
        choice_case{"gives_up_waiting_when_it_does_not_pay",
                    {Minion(0, 3.0), Minion(2, 1.0, milliseconds(50))},
                    0,
                    {},
                    milliseconds(200)},
        choice_case{"all_at_their_limit",
                    {Minion(3, 1.0), Minion(3, 2.0)},
                    std::nullopt}),
    [](const auto& test) { return test.param.name; });

// Guards against starvation of a task with low urgency by later tasks.
RC_GTEST_PROP(task_queue_property, NoTaskStarves, (std::uint64_t seed)) {
  random_source random(seed);
  manual_clock time;
  task_queue queue;
  queue.Push({job_id{{1}, 0}, 0, 0, time.Now(), milliseconds(100)});
  std::uint64_t sequence = 0;
  // A task of the highest urgency is at most 4 s ahead, and no job here is due
  // later than 2 s after its arrival, so the 14 s of this loop are ample.
  for (int i = 0; i < 1400; ++i) {
    time.Advance(milliseconds(10));
    const auto urgency = static_cast<std::uint32_t>(random.Below(101));
    queue.Push(
        {job_id{{1}, ++sequence}, 0, urgency, time.Now(), milliseconds(100)});
    const queued_task next = *queue.Front();
    queue.PopFront();
    if (next.job.sequence == 0) {
      return;
    }
  }
  RC_FAIL("the task with the lowest urgency was not started");
}

// Guards against a sum of run times that differs from the queued tasks.
RC_GTEST_PROP(task_queue_property, KeepsItsSums, (std::uint64_t seed)) {
  random_source random(seed);
  task_queue queue;
  for (std::uint32_t i = 0; i < 200; ++i) {
    if (random.Below(3) > 0 || queue.empty()) {
      queue.Push({job_id{{1}, random.Below(5)}, i, 50, steady_time(),
                  milliseconds(random.Below(1000))});
    } else if (random.Below(4) == 0) {
      queue.RemoveJob(job_id{{1}, random.Below(5)});
    } else {
      queue.PopFront();
    }
    microseconds total{};
    for (const queued_task& task : queue) {
      total += task.run_time;
    }
    RC_ASSERT(total == queue.TotalRunTime());
  }
}

// Guards against a short job that waits for all tasks of a long one that
// arrived just before it.
TEST(task_queue_test, ShortJobsOvertakeLongOnes) {
  task_queue queue;
  const steady_time now = steady_time() + std::chrono::hours(1);
  queue.Push(
      {job_id{{1}, 1}, 0, 50, now, milliseconds(500), milliseconds(5000)});
  queue.Push({job_id{{1}, 2}, 0, 50, now + milliseconds(10), milliseconds(100),
              milliseconds(100)});
  EXPECT_EQ(queue.Front()->job.sequence, 2U);
}

// Guards against a job that ends late because its longest task starts last.
TEST(task_queue_test, LongestTaskOfAJobGoesFirst) {
  task_queue queue;
  queue.Push({job_id{{1}, 1}, 0, 50, steady_time(), milliseconds(10)});
  queue.Push({job_id{{1}, 1}, 1, 50, steady_time(), milliseconds(900)});
  EXPECT_EQ(queue.Front()->index, 1U);
}

// Guards against attributing the run times of a long kind to a slow minion, or
// the reverse.
TEST(speed_model_test, SeparatesMinionsFromKinds) {
  speed_model model;
  random_source random(7);
  for (int i = 0; i < 4000; ++i) {
    const std::uint64_t minion = random.Below(4);
    const bool is_long = random.Below(2) == 0;
    const double base = is_long ? 900'000 : 60'000;
    model.Learn("quotes", is_long ? "long" : "short", minion,
                microseconds(static_cast<std::int64_t>(
                    base * (minion == 3 ? 3.0 : 1.0))));
  }
  EXPECT_NEAR(model.Slowness(3) / model.Slowness(0), 3.0, 0.3);
  const double ratio =
      static_cast<double>(model.ExpectedRunTime("quotes", "long", {}).count()) /
      static_cast<double>(model.ExpectedRunTime("quotes", "short", {}).count());
  EXPECT_NEAR(ratio, 15.0, 1.5);
}

// Guards against sending all tasks to a minion that fails each immediately, and
// against a minion that gets no tasks after it has recovered.
TEST(minion_health_test, BlocksAfterFailuresAndRecoversByTrial) {
  manual_clock time;
  minion_health health;
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(health.Permission(time.Now()),
              minion_health::permission::kAllowed);
    health.OnResult(false, time.Now());
  }
  EXPECT_EQ(health.Permission(time.Now()), minion_health::permission::kBlocked);
  time.Advance(std::chrono::seconds(1));
  EXPECT_EQ(health.Permission(time.Now()), minion_health::permission::kTrial);
  health.OnStart(time.Now());
  EXPECT_EQ(health.Permission(time.Now()), minion_health::permission::kBlocked);
  health.OnResult(false, time.Now());
  time.Advance(std::chrono::seconds(1));
  EXPECT_EQ(health.Permission(time.Now()), minion_health::permission::kBlocked);
  time.Advance(std::chrono::seconds(1));
  health.OnStart(time.Now());
  health.OnResult(true, time.Now());
  EXPECT_EQ(health.Permission(time.Now()), minion_health::permission::kAllowed);
}

// Guards against retries that multiply the load, and against a budget that
// never allows one.
TEST(retry_budget_test, AllowsATenthOfFirstStarts) {
  retry_budget budget;
  while (budget.TryTake()) {
  }
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstStart();
    taken += budget.TryTake() ? 1 : 0;
  }
  EXPECT_NEAR(taken, 100, 1);
}

// Guards against a share that stops a team or lets it exceed its quota.
TEST(quota_ledger_test, KeepsTheShare) {
  quota_ledger ledger;
  ledger.SetShare("red", 0.5);
  ledger.SetShare("blue", 0.0);
  int started = 0;
  while (ledger.MayStart("red", 10)) {
    ledger.OnStart("red");
    ++started;
  }
  EXPECT_EQ(started, 5);
  EXPECT_TRUE(ledger.MayStart("blue", 10));
  ledger.OnStart("blue");
  EXPECT_FALSE(ledger.MayStart("blue", 10));
  EXPECT_TRUE(ledger.MayStart("blue", 0));
}

// Guards against entries that together exceed the quota because they learn of
// each other's demand at different times.
TEST(quota_ledger_test, ALargerShareWaitsUntilOthersHaveLoweredTheirs) {
  manual_clock time;
  quota_ledger ledger;
  ledger.UpdateShare("red", 0.5, time.Now());
  ledger.UpdateShare("red", 1.0, time.Now());
  const auto starts = [&ledger] {
    int count = 0;
    while (ledger.MayStart("red", 10)) {
      ledger.OnStart("red");
      ++count;
    }
    for (int i = 0; i < count; ++i) {
      ledger.OnEnd("red");
    }
    return count;
  };
  EXPECT_EQ(starts(), 5);
  time.Advance(quota_ledger::kIncreaseDelay);
  ledger.ApplyDue(time.Now());
  EXPECT_EQ(starts(), 10);
  ledger.UpdateShare("red", 0.2, time.Now());
  EXPECT_EQ(starts(), 2);
}

struct slow_start_case {
  const char* name;
  milliseconds duration;
  milliseconds since;
  std::uint32_t expected;
};

class slow_start_test : public testing::TestWithParam<slow_start_case> {};

// Guards against a minion that gets all of its share at once, or that stays
// slow for another time than the setting says.
TEST_P(slow_start_test, GrowsFromOneToAllSlots) {
  const steady_time joined{std::chrono::seconds(100)};
  EXPECT_EQ(
      SlowStartLimit(joined, joined + GetParam().since, 8, GetParam().duration),
      GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    slow_start_test,
    testing::Values(
        slow_start_case{"begin", kSlowStartTime, milliseconds(0), 1},
        slow_start_case{"half", kSlowStartTime, milliseconds(2500), 4},
        slow_start_case{"end", kSlowStartTime, milliseconds(15'000), 8},
        slow_start_case{"longer", milliseconds(20'000), milliseconds(5000), 2},
        slow_start_case{"none", milliseconds(0), milliseconds(0), 8}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace jayrill
