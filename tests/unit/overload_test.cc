#include <gtest/gtest.h>

#include <queue>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/placement/start_delay.h"
#include "jayrill/placement/task_queue.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRun{100};
constexpr milliseconds kObjective{220};
constexpr int kSlots = 10;

struct overload_result {
  int jobs = 0;
  int in_time = 0;
};

/// Simulates sustained overload: for 20 s, jobs of one task arrive at 1.4 times
/// the rate that ten slots can serve.
overload_result RunOverload(bool defers_late) {
  constexpr milliseconds kGap{7};
  manual_clock time;
  task_queue waiting;
  std::priority_queue<steady_time, std::vector<steady_time>, std::greater<>>
      busy_until;
  overload_result result;
  const steady_time end = time.Now() + std::chrono::seconds(20);
  while (time.Now() < end) {
    queued_task task;
    task.job = {incarnation{1}, static_cast<std::uint64_t>(++result.jobs)};
    task.arrival = time.Now();
    task.run_time = kRun;
    task.due = time.Now() + kObjective;
    waiting.Push(task);
    time.Advance(kGap);
    while (!busy_until.empty() && busy_until.top() <= time.Now()) {
      busy_until.pop();
    }
    if (defers_late) {
      waiting.DeferLate(time.Now(), 1.0);
    }
    while (busy_until.size() < kSlots && !waiting.empty()) {
      const queued_task next = *waiting.Front();
      waiting.PopFront();
      busy_until.push(time.Now() + kRun);
      result.in_time += time.Now() + kRun <= next.due ? 1 : 0;
    }
  }
  return result;
}

// Guards against a queue that starts late jobs first and so makes every job
// late.
TEST(overload_test, JobsThatAreLateDoNotMakeTheOthersLate) {
  const overload_result plain = RunOverload(false);
  const overload_result deferring = RunOverload(true);
  EXPECT_LT(plain.in_time, plain.jobs / 5);
  EXPECT_GT(deferring.in_time, deferring.jobs * 6 / 10);
}

// Guards against refusals that continue after the queue has become empty.
TEST(start_delay_test, FollowsTheWaitAndForgetsIt) {
  manual_clock time;
  start_delay delay;
  EXPECT_EQ(delay.Expected(time.Now()).count(), 0);
  for (int i = 0; i < 30; ++i) {
    delay.OnStart(milliseconds(200), time.Now());
  }
  EXPECT_NEAR(static_cast<double>(delay.Expected(time.Now()).count()), 200e3,
              5e3);
  time.Advance(milliseconds(400));
  EXPECT_EQ(delay.Expected(time.Now()).count(), 0);
}

}  // namespace
}  // namespace jayrill
