#include "jayrill/agent/leased_minion.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <string>

#include "minion_standin.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

/// Two agents with one simulated minion each, and a caller that starts a task
/// again on either agent as soon as its call has ended without success.
class leased_minion_fixture {
 public:
  leased_minion_fixture(std::uint64_t seed, minion_faults faults)
      : random_(seed) {
    for (std::size_t i = 0; i < minions.size(); ++i) {
      minions[i] = std::make_unique<minion_standin>(
          time, timers, random_source(seed * 7 + i), monitor, faults);
      agents[i] = std::make_unique<leased_minion>(
          lease_settings{}, time, timers, *minions[i],
          minion_port::listener{
              [this](std::uint64_t call, task_result outcome) {
                results[call] = std::move(outcome);
              },
              [this](std::uint64_t call) { OnFree(call); }});
    }
    Announce();
  }

  void Announce() {
    for (std::size_t i = 0; i < minions.size(); ++i) {
      agents[i]->OnAnnounced(minions[i]->Announcement());
    }
  }

  std::uint64_t Start(std::size_t agent, std::uint32_t task) {
    task_call call;
    call.id = ++last_call_;
    call.order.job_name = "5c0e7a21d94b36f8";
    call.order.task_index = task;
    call.order.attempt = ++attempts_[task];
    call.released = time.Now();
    call.deadline = time.Now() + std::chrono::minutes(5);
    tasks_[call.id] = task;
    agents[agent]->Run(call);
    return call.id;
  }

  std::size_t PickAgent() { return random_.Below(agents.size()); }
  random_source& random() { return random_; }

  manual_clock time;
  manual_scheduler timers{time};
  run_monitor monitor;
  std::array<std::unique_ptr<minion_standin>, 2> minions;
  std::array<std::unique_ptr<leased_minion>, 2> agents;
  std::map<std::uint64_t, task_result> results;
  std::map<std::uint32_t, bool> done;
  bool repeat = true;  ///< Start tasks again that did not succeed.

 private:
  void OnFree(std::uint64_t call) {
    const std::uint32_t task = tasks_[call];
    if (results[call].outcome == task_outcome::kSucceeded) {
      done[task] = true;
    } else if (repeat) {
      timers.After(milliseconds(0), [this, task] { Start(PickAgent(), task); });
    }
  }

  random_source random_;
  std::uint64_t last_call_ = 0;
  std::map<std::uint64_t, std::uint32_t> tasks_;
  std::map<std::uint32_t, std::uint32_t> attempts_;
};

struct fault_case {
  std::string name;
  minion_faults faults;
  bool crashes = false;
};

class leased_minion_property_test : public testing::TestWithParam<fault_case> {
};

// Guards against two runs of a task at the same time: after a lost answer, an
// order that is carried out late, a stop in progress, an expired lease, or a
// restart of the minion under the same name. Also against tasks that never end.
TEST_P(leased_minion_property_test, RunsNeverOverlapAndAllTasksEnd) {
  constexpr std::uint32_t kTasks = 12;
  constexpr std::uint64_t kSeeds = 40;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    leased_minion_fixture fixture(seed, GetParam().faults);
    for (std::uint32_t task = 0; task < kTasks; ++task) {
      fixture.Start(fixture.PickAgent(), task);
    }
    for (int second = 0; second < 20; ++second) {
      fixture.timers.RunFor(milliseconds(400 + fixture.random().Below(600)));
      if (GetParam().crashes && fixture.random().Below(3) == 0) {
        fixture.minions[fixture.PickAgent()]->Crash();
      }
      fixture.Announce();
    }
    for (auto& minion : fixture.minions) {
      minion->SetFaults({});
    }
    for (int second = 0; second < 20; ++second) {
      fixture.timers.RunFor(milliseconds(1000));
      fixture.Announce();
    }
    EXPECT_EQ(fixture.monitor.overlaps(), 0) << "seed " << seed;
    EXPECT_EQ(fixture.done.size(), kTasks) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    faults,
    leased_minion_property_test,
    testing::Values(fault_case{"none", {}, false},
                    fault_case{"lost_answers", {.lost_answers = 30}, false},
                    fault_case{"late_orders", {.late_orders = 20}, false},
                    fault_case{"hangs", {.hangs = 30}, false},
                    fault_case{"failures", {.failures = 50}, false},
                    fault_case{"crashes", {}, true},
                    fault_case{"all", {15, 10, 10, 10}, true}),
    [](const auto& param) { return param.param.name; });

// Guards against a run that goes on after its agent was paused. Its caller may
// have submitted the job again.
TEST(leased_minion_test, APauseStopsAllRuns) {
  leased_minion_fixture fixture(1, {.hangs = 100});
  fixture.repeat = false;
  fixture.timers.RunFor(milliseconds(50));
  const std::uint64_t call = fixture.Start(0, 0);
  fixture.timers.RunFor(milliseconds(100));
  EXPECT_EQ(fixture.agents[0]->running(), 1U);
  fixture.time.Advance(milliseconds(700));
  fixture.timers.RunFor(milliseconds(400));
  EXPECT_EQ(fixture.agents[0]->running(), 0U);
  EXPECT_EQ(fixture.results[call].outcome, task_outcome::kInterrupted);
}

// Guards against runs of an unreachable minion that count as running for as
// long as new starts arrive, because each start extends the lease.
TEST(leased_minion_test, RunsOfAMinionThatIsGoneEndWithTheirLease) {
  leased_minion_fixture fixture(1, {.hangs = 100});
  fixture.repeat = false;
  fixture.timers.RunFor(milliseconds(50));
  const std::uint64_t call = fixture.Start(0, 0);
  fixture.timers.RunFor(milliseconds(50));
  fixture.minions[0]->SetFaults({.lost_answers = 100});
  for (std::uint32_t task = 1; task < 40; ++task) {
    fixture.Start(0, task);
    fixture.timers.RunFor(milliseconds(100));
  }
  EXPECT_EQ(fixture.results[call].outcome, task_outcome::kInterrupted);
}

// Guards against a cancelled task that keeps running.
TEST(leased_minion_test, StopEndsTheRunSoon) {
  leased_minion_fixture fixture(1, {});
  fixture.repeat = false;
  fixture.timers.RunFor(milliseconds(50));
  const std::uint64_t call = fixture.Start(0, 0);
  fixture.timers.RunFor(milliseconds(10));
  fixture.agents[0]->Stop(call);
  fixture.timers.RunFor(milliseconds(250));
  EXPECT_EQ(fixture.agents[0]->running(), 0U);
  EXPECT_NE(fixture.results[call].outcome, task_outcome::kUnknown);
}

// Guards against a run that makes no progress and keeps its slot until its
// deadline.
TEST(leased_minion_test, ARunThatStandsStillIsStopped) {
  leased_minion_fixture fixture(1, {.hangs = 100});
  fixture.repeat = false;
  fixture.timers.RunFor(milliseconds(50));
  const std::uint64_t call = fixture.Start(0, 0);
  fixture.timers.RunFor(milliseconds(1200));
  EXPECT_EQ(fixture.results[call].outcome, task_outcome::kInterrupted);
}

}  // namespace
}  // namespace jayrill
