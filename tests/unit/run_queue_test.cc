#include "jayrill/agent/run_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "jayrill/base/random_source.h"

namespace jayrill {
namespace {

queued_start Start(std::uint64_t entry, std::uint64_t number, double priority) {
  queued_start start;
  start.entry = {entry};
  start.order.number = {number};
  start.order.priority = priority;
  return start;
}

// Guards against a start that is lost, taken twice, taken out of order or taken
// beyond the slots, under any order of arrivals, releases and withdrawals.
// The model is a list that is sorted again after each arrival.
RC_GTEST_PROP(run_queue_property,
              BehavesLikeASortedList,
              (std::uint64_t seed)) {
  random_source random(seed);
  const auto slots = static_cast<std::uint32_t>(random.Below(4));
  constexpr std::size_t kLimit = 20;
  run_queue queue(kLimit);
  std::vector<queued_start> model;
  std::uint64_t number = 0;
  std::uint32_t busy = 0;
  for (int step = 0; step < 200; ++step) {
    const auto choice = random.Below(5);
    if (choice <= 1 && !queue.IsFull()) {
      model.push_back(Start(random.Below(2), ++number,
                            static_cast<double>(random.Below(3))));
      queue.Push(model.back());
      std::stable_sort(model.begin(), model.end(),
                       [](const auto& left, const auto& right) {
                         return left.order.priority < right.order.priority;
                       });
    } else if (choice == 2) {
      const auto taken = queue.TakeNext(slots);
      RC_ASSERT(taken.has_value() == (busy < slots && !model.empty()));
      if (taken) {
        RC_ASSERT(*taken == model.front());
        model.erase(model.begin());
        ++busy;
      }
    } else if (choice == 3 && busy > 0) {
      queue.FreeSlot(std::chrono::milliseconds(10));
      --busy;
    } else if (choice == 4 && number > 0) {
      const incarnation entry{random.Below(2)};
      const start_number withdrawn_number{1 + random.Below(number)};
      const auto found = std::find_if(
          model.begin(), model.end(), [&](const queued_start& start) {
            return start.entry == entry &&
                   start.order.number == withdrawn_number;
          });
      RC_ASSERT(queue.Withdraw(entry, withdrawn_number).has_value() ==
                (found != model.end()));
      if (found != model.end()) {
        model.erase(found);
      }
    }
    RC_ASSERT(queue.busy() == busy);
    RC_ASSERT(queue.waiting() == model.size());
    RC_ASSERT(queue.IsFull() == (model.size() >= kLimit));
  }
  RC_ASSERT(queue.WithdrawIf([](const auto&) { return true; }) == model);
}

struct estimate_case {
  std::uint32_t slots;
  std::uint32_t running;
  std::uint32_t waiting;
  std::int64_t expected_ms;
};

class expected_free_test : public ::testing::TestWithParam<estimate_case> {};

// Guards against an estimate that makes entries overload a busy agent or avoid
// a free one.
TEST_P(expected_free_test, FollowsMeanRunTime) {
  const estimate_case& values = GetParam();
  run_queue queue(100);
  queue.Push(Start(1, 1, 0));
  queue.TakeNext(1);
  queue.FreeSlot(std::chrono::milliseconds(100));
  for (std::uint64_t i = 0; i < values.running + values.waiting; ++i) {
    queue.Push(Start(1, 2 + i, 0));
  }
  for (std::uint32_t i = 0; i < values.running; ++i) {
    queue.TakeNext(values.slots);
  }
  EXPECT_EQ(queue.TimeUntilFree(values.slots),
            std::chrono::milliseconds(values.expected_ms));
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         expected_free_test,
                         ::testing::Values(estimate_case{4, 0, 0, 0},
                                           estimate_case{4, 3, 0, 0},
                                           estimate_case{4, 4, 0, 25},
                                           estimate_case{4, 4, 3, 100},
                                           estimate_case{1, 1, 2, 300},
                                           estimate_case{0, 0, 2, 0}));

}  // namespace
}  // namespace jayrill
