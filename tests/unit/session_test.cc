#include "jayrill/session.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <vector>

#include "jayrill/base.h"

namespace jayrill {
namespace {

// Guards against a start that runs twice, or that runs after the entry was told
// that it did not run. Connections are cut with starts in flight, and messages
// and unacknowledged results are delivered again.
RC_GTEST_PROP(session_property,
              StartsRunAtMostOnceAndFencesAreTrue,
              (std::uint64_t seed)) {
  random_source random(seed);
  start_window window;
  start_gate gate;
  struct message {
    connection_epoch epoch;
    start_number number;
    std::uint32_t task;
  };
  std::deque<message> in_flight;                         // Starts to the agent.
  std::map<start_number, std::uint32_t> unacknowledged;  // Results, by start.
  std::map<std::uint32_t, int> runs;
  std::map<std::uint32_t, bool> placeable;  // Whether a task may be sent again.
  std::uint32_t next_task = 0;
  const auto reconnect = [&] {
    const connection_epoch epoch = gate.Reconnect();
    const auto fenced = window.Resume(epoch, gate.last_accepted());
    RC_ASSERT(fenced.has_value());
    for (const start_window::task_ref& task : *fenced) {
      RC_ASSERT(runs[task.task_index] == 0);
      placeable[task.task_index] = true;
    }
  };
  reconnect();
  for (int step = 0; step < 300; ++step) {
    switch (random.Below(6)) {
      case 0:
      case 1: {  // Send a new task, or one that was fenced.
        std::uint32_t task = next_task;
        for (auto& [index, free] : placeable) {
          if (free) {
            task = index;
            break;
          }
        }
        next_task += task == next_task ? 1 : 0;
        placeable[task] = false;
        const start_number number = window.Add({job_id{}, task});
        in_flight.push_back({window.epoch(), number, task});
        break;
      }
      case 2:
      case 3:  // Deliver the oldest message; old connections may deliver late.
        if (!in_flight.empty()) {
          const message next = in_flight.front();
          // A message that stays in the queue is delivered again.
          if (random.Below(4) > 0) {
            in_flight.pop_front();
          }
          if (gate.Admit(next.epoch, next.number) ==
              start_gate::decision::kAdmitted) {
            ++runs[next.task];
            RC_ASSERT(runs[next.task] == 1);
            RC_ASSERT(!placeable[next.task]);
            unacknowledged[next.number] = next.task;
          }
        }
        break;
      case 4:  // Results arrive; some are sent again.
        for (auto it = unacknowledged.begin(); it != unacknowledged.end();) {
          const auto task = window.Take(it->first);
          RC_ASSERT(!task || task->task_index == it->second);
          it = random.Below(2) == 0 ? unacknowledged.erase(it) : ++it;
        }
        break;
      case 5: {  // The connection is cut; messages in flight may be lost.
        std::deque<message> kept;
        for (const message& item : in_flight) {
          if (random.Below(2) == 0) {
            kept.push_back(item);
          }
        }
        in_flight = kept;
        reconnect();
        break;
      }
    }
  }
}

// Guards against a connection of an earlier or the same epoch that takes over a
// session.
TEST(start_window_test, RefusesOlderEpoch) {
  start_window window;
  EXPECT_TRUE(window.Resume(connection_epoch{2}, start_number{0}).has_value());
  EXPECT_FALSE(window.Resume(connection_epoch{2}, start_number{0}).has_value());
  EXPECT_FALSE(window.Resume(connection_epoch{1}, start_number{0}).has_value());
}

// Guards against a process that, after a pause and before its next tick, runs
// starts that waited in its sockets.
TEST(pause_detector_test, DetectsGapBeforeTheNextTick) {
  manual_clock time;
  pause_detector detector(time);
  time.Advance(kPauseLimit);
  EXPECT_FALSE(detector.IsPaused());
  time.Advance(std::chrono::milliseconds(1));
  EXPECT_TRUE(detector.IsPaused());
  EXPECT_TRUE(detector.Tick());
  EXPECT_FALSE(detector.IsPaused());
}

}  // namespace
}  // namespace jayrill
