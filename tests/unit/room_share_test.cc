#include "jayrill/agent/room_share.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "agent_core_rig.h"
#include "jayrill/placement/share_weight.h"

namespace jayrill {
namespace {

start_request StartOf(const std::string& queue,
                      std::uint32_t weight,
                      std::uint32_t cpu_millis = 4000) {
  start_request start;
  start.profile = queue;
  start.share_weight = weight;
  start.needs.cpu_millis = cpu_millis;
  return start;
}

/// What one queue asks of the minion.
struct queue_load {
  std::string name;
  std::uint32_t weight;
  std::size_t demand;  ///< Starts that run or wait at any time.
  milliseconds run_time;
  double least_share;  ///< Of the core time.
  double most_share;
};

/// A minion that runs `slots` starts at a time and serves its queues for some
/// seconds in the order of room_share. Starts of the same standing are served
/// in turn.
std::map<std::string, double> SharesOf(const std::vector<queue_load>& queues,
                                       std::size_t slots) {
  constexpr milliseconds kStep{5};
  constexpr milliseconds kDuration{10'000};
  struct run {
    run_charge charge;
    steady_time end;
  };
  room_share shares;
  manual_clock time;
  std::vector<run> runs;
  std::vector<start_request> waiting;
  std::map<std::string, milliseconds> run_times;
  for (const queue_load& queue : queues) {
    run_times[queue.name] = queue.run_time;
  }
  const auto count = [&](const std::string& name) {
    return static_cast<std::size_t>(
        std::count_if(
            runs.begin(), runs.end(),
            [&](const run& item) { return item.charge.queue == name; }) +
        std::count_if(
            waiting.begin(), waiting.end(),
            [&](const start_request& item) { return item.profile == name; }));
  };
  for (milliseconds elapsed{}; elapsed < kDuration; elapsed += kStep) {
    const steady_time now = time.Now();
    std::erase_if(runs, [&](const run& item) {
      if (item.end > now) {
        return false;
      }
      shares.OnRunEnded(item.charge, run_times[item.charge.queue], now);
      return true;
    });
    for (const queue_load& queue : queues) {
      while (count(queue.name) < queue.demand) {
        waiting.push_back(StartOf(queue.name, queue.weight));
        waiting.back().expected_run = queue.run_time;
        shares.OnWaiting(waiting.back(), now);
      }
    }
    while (runs.size() < slots && !waiting.empty()) {
      auto next = std::find_if(waiting.begin(), waiting.end(),
                               [&](const start_request& start) {
                                 return shares.IsBelowShare(start, now);
                               });
      next = next == waiting.end() ? waiting.begin() : next;
      shares.OnWaitEnded(*next, now);
      runs.push_back(
          {shares.OnRunStarted(*next, now), now + run_times[next->profile]});
      waiting.erase(next);
    }
    time.Advance(kStep);
  }
  double sum = 0;
  std::map<std::string, double> core_time;
  for (const auto& [name, usage] : shares.usage()) {
    sum += usage.core_seconds;
  }
  for (const auto& [name, usage] : shares.usage()) {
    core_time[name] = usage.core_seconds / sum;
  }
  return core_time;
}

struct share_case {
  std::string name;
  std::vector<queue_load> queues;
};

class room_share_test : public testing::TestWithParam<share_case> {};

// Guards against a queue that takes the room of the others, and against one
// that starves. Loads: a burst of long tasks of low weight beside short ones;
// two queues that both ask for all the room; a queue that asks for little.
TEST_P(room_share_test, CoreTimeFollowsTheWeights) {
  const auto shares = SharesOf(GetParam().queues, 8);
  for (const queue_load& queue : GetParam().queues) {
    EXPECT_GE(shares.at(queue.name), queue.least_share) << queue.name;
    EXPECT_LE(shares.at(queue.name), queue.most_share) << queue.name;
  }
}

INSTANTIATE_TEST_SUITE_P(
    loads,
    room_share_test,
    testing::Values(
        share_case{"one_queue", {{"a", 1, 20, milliseconds(60), 1, 1}}},
        share_case{"equal_weights",
                   {{"short", 1, 20, milliseconds(60), 0.4, 0.6},
                    {"long", 1, 20, milliseconds(900), 0.4, 0.6}}},
        share_case{"all_ask_for_everything",
                   {{"urgent", 4, 20, milliseconds(60), 0.5, 0.65},
                    {"usual", 2, 20, milliseconds(200), 0.2, 0.36},
                    {"patient", 1, 20, milliseconds(900), 0.1, 0.22}}},
        share_case{"burst_of_long_tasks_beside_little_demand",
                   {{"urgent", 4, 1, milliseconds(60), 0.1, 0.13},
                    {"usual", 2, 3, milliseconds(200), 0.3, 0.38},
                    {"patient", 1, 30, milliseconds(900), 0.5, 0.6}}}),
    [](const auto& item) { return item.param.name; });

// Guards against a queue that stays below its share while it waits: whatever
// the weights and demands, at least one waiting queue is below its share, so
// that the preference never blocks all of them.
RC_GTEST_PROP(room_share_property, AWaitingQueueIsBelowItsShare, ()) {
  room_share shares;
  manual_clock time;
  const auto queues = *rc::gen::inRange<std::uint32_t>(1, 6);
  std::vector<start_request> starts;
  for (std::uint32_t i = 0; i < queues; ++i) {
    starts.push_back(StartOf("queue" + std::to_string(i),
                             *rc::gen::inRange<std::uint32_t>(1, 1000),
                             *rc::gen::inRange<std::uint32_t>(1, 50'000)));
    shares.OnWaiting(starts.back(), time.Now());
  }
  for (int step = 0; step < 20; ++step) {
    const start_request& start =
        starts[*rc::gen::inRange<std::size_t>(0, starts.size())];
    const run_charge charge = shares.OnRunStarted(start, time.Now());
    time.Advance(milliseconds(*rc::gen::inRange(0, 500)));
    RC_ASSERT(std::any_of(starts.begin(), starts.end(), [&](const auto& item) {
      return shares.IsBelowShare(item, time.Now());
    }));
    shares.OnRunEnded(charge, milliseconds(*rc::gen::inRange(0, 500)),
                      time.Now());
  }
}

// Guards against shares that rest on queues that are gone, and against counts
// that go on growing with the names of queues.
TEST(room_share_bound_test, ForgetsIdleQueuesAndBoundsTheirCounts) {
  room_share shares;
  manual_clock time;
  for (int i = 0; i < 500; ++i) {
    const start_request start = StartOf("queue" + std::to_string(i), 1);
    shares.OnWaiting(start, time.Now());
    shares.OnWaitEnded(start, time.Now());
    shares.OnReturned(start);
    time.Advance(room_share::kWindow * 2);
  }
  EXPECT_LE(shares.usage().size(), 101U);
  EXPECT_EQ(shares.usage().at("other").returned, 400U);
  EXPECT_FALSE(shares.IsContended());
}

struct weight_case {
  std::uint32_t urgency;
  std::uint32_t weight;
};

class share_weight_test : public testing::TestWithParam<weight_case> {};

// Guards against priorities that do not change the share of a queue.
TEST_P(share_weight_test, DoublesWithEachPriority) {
  EXPECT_EQ(ShareWeight(GetParam().urgency), GetParam().weight);
}

INSTANTIATE_TEST_SUITE_P(urgencies,
                         share_weight_test,
                         testing::Values(weight_case{0, 1},
                                         weight_case{40, 256},
                                         weight_case{45, 512},
                                         weight_case{50, 1024},
                                         weight_case{100, 1U << 20U},
                                         weight_case{1000, 1U << 20U}));

/// \returns an order that may wait for 20 ms, of \p queue and \p priority.
start_request OrderOf(std::uint64_t number,
                      const std::string& queue,
                      std::uint32_t weight,
                      double priority) {
  start_request order = Order(number);
  order.profile = queue;
  order.share_weight = weight;
  order.priority = priority;
  order.max_wait = milliseconds(20);
  order.expected_run = milliseconds(10);
  return order;
}

// Guards against an urgent start that is given back as busy because starts
// wait that it would go before. Load: the only slot is taken by long tasks of
// the other queue, one of which waits.
TEST(room_share_agent_test, AnUrgentStartWaitsOnlyBehindThoseBeforeIt) {
  core_rig rig;
  rig.Send({OrderOf(1, "patient", 1, 1), OrderOf(2, "patient", 1, 2)});
  rig.Send({OrderOf(3, "urgent", 4, 3)});
  EXPECT_TRUE(rig.Results().empty());
  ASSERT_EQ(rig.host.calls.size(), 1U);
  task_result ended;
  ended.outcome = task_outcome::kSucceeded;
  ended.run_time = milliseconds(10);
  rig.core.OnResult(rig.host.calls.front().id, ended);
  rig.core.OnSlotFree(rig.host.calls.front().id);
  ASSERT_EQ(rig.host.calls.size(), 2U);
  EXPECT_EQ(rig.host.calls.back().order.profile, "urgent");
}

// Guards against a change for entries that send no profile or only one.
TEST(room_share_agent_test, WithOneQueueTheOrderIsThatOfThePriority) {
  core_rig rig;
  rig.Send({OrderOf(1, "", 0, 1), OrderOf(2, "", 0, 2)});
  rig.Send({OrderOf(3, "", 0, 3)});
  const auto results = rig.Results();
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results.front().number, start_number{3});
  EXPECT_EQ(results.front().reason, not_run_reason::kBusy);
}

}  // namespace
}  // namespace jayrill
