#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <set>

#include "agent_core_rig.h"
#include "jayrill/base/random_source.h"
#include "jayrill/session/start_window.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

// Guards against a start that runs twice, runs although it was reported as not
// run or lost, runs beyond the slots or in a data centre that is out, or never
// gets a result. Batches, results, cancellations, reconnects, pauses, leaving
// minions and configuration changes come in random order.
RC_GTEST_PROP(agent_core_property,
              RunsAtMostOnceAndRefusesTruly,
              (std::uint64_t seed)) {
  random_source random(seed);
  core_rig rig;
  start_window window;
  window.Resume(rig.epoch, {});
  std::deque<start_batch> in_flight;
  std::map<std::uint32_t, int> runs;  // By task; each start is a new task.
  std::set<std::uint32_t> not_run;
  std::set<std::uint32_t> lost;
  std::uint32_t next_task = 0;
  std::uint64_t revision = 5;
  bool out = false;
  bool left = false;
  std::map<std::uint64_t, std::uint32_t> running;  // Task by call.

  const auto take_calls = [&] {
    for (; !rig.host.calls.empty(); rig.host.calls.pop_front()) {
      const task_call& call = rig.host.calls.front();
      RC_ASSERT(++runs[call.order.task_index] == 1);
      RC_ASSERT(!not_run.contains(call.order.task_index));
      RC_ASSERT(!lost.contains(call.order.task_index));
      RC_ASSERT(!out && !left);
      running[call.id] = call.order.task_index;
      RC_ASSERT(running.size() <= 2U);
    }
  };
  const auto record_result = [&](const task_result& result) {
    const auto task = window.Take(result.number);
    if (task && result.outcome == task_outcome::kNotRun) {
      RC_ASSERT(runs[task->task_index] == 0);
      not_run.insert(task->task_index);
    }
    if (task && result.outcome == task_outcome::kSucceeded) {
      RC_ASSERT(result.body == std::to_string(task->task_index));
    }
  };
  const auto deliver_results = [&] {
    std::vector<start_number> numbers;
    for (const task_result& result : rig.Results()) {
      numbers.push_back(result.number);
      record_result(result);
    }
    rig.core.Session(kEntry).Acknowledge(numbers);
  };
  const auto reconnect = [&](bool resumed) {
    rig.core.Disconnect(kEntry, rig.epoch);
    const auto opening = rig.core.Connect(kEntry);
    rig.epoch = opening.epoch;
    if (!resumed) {
      for (const auto& task : window.Close()) {
        lost.insert(task.task_index);
      }
      window = start_window();
    }
    const auto fenced = window.Resume(opening.epoch, opening.last_accepted);
    RC_ASSERT(fenced.has_value());
    for (const auto& task : *fenced) {
      RC_ASSERT(runs[task.task_index] == 0);
      not_run.insert(task.task_index);
    }
    rig.core.Welcome(kEntry, resumed);
  };
  const auto finish_call = [&] {
    task_result done;
    done.outcome = task_outcome::kSucceeded;
    const auto [id, task] = *running.begin();
    done.body = std::to_string(task);
    rig.core.OnResult(id, done);
    running.erase(id);
    rig.core.OnSlotFree(id);
  };

  rig.core.Announce(Minion(2));
  for (int step = 0; step < 200; ++step) {
    switch (random.Below(12)) {
      case 0:
      case 1:
      case 2: {
        start_batch batch{{revision}, window.epoch(), {}};
        for (std::uint64_t i = random.Below(3); i > 0; --i) {
          start_request order = Order(window.Add({{}, ++next_task}).value);
          order.task_index = next_task;
          order.priority = random.Unit();
          batch.starts.push_back(order);
        }
        in_flight.push_back(batch);
        break;
      }
      case 3:
      case 4:
        if (!in_flight.empty()) {
          rig.core.AdmitBatch(kEntry, in_flight.front());
          if (random.Below(4) > 0) {  // Else it is delivered again.
            in_flight.pop_front();
          }
        }
        break;
      case 5:
      case 6:
        if (!running.empty()) {
          finish_call();
        }
        break;
      case 7:
        deliver_results();
        break;
      case 8:
        rig.core.Cancel(kEntry, std::vector<start_number>{
                                    {1 + random.Below(next_task + 1)}});
        break;
      case 9:
        rig.time.Advance(milliseconds(random.Below(1300)));
        if (random.Below(2) == 0) {
          rig.core.Tick();
        }
        rig.core.Announce(Minion(2));
        left = rig.core.Status().draining;
        break;
      case 10:
        if (random.Below(4) == 0) {
          out = random.Below(2) == 0;
          rig.core.OfferConfig(Config(++revision, out ? "east" : ""));
        } else if (random.Below(8) == 0) {
          rig.core.Leave();
          left = true;
        }
        break;
      case 11:
        if (random.Below(3) == 0) {
          reconnect(random.Below(3) > 0);
        }
        break;
    }
    take_calls();
    if (!rig.core.IsConnected(kEntry)) {
      reconnect(true);
    }
  }
  rig.core.Drain();
  while (!running.empty()) {
    finish_call();
    take_calls();
  }
  // Batches that are still in flight were never accepted; the reconnect fences
  // them.
  reconnect(true);
  deliver_results();
  RC_ASSERT(window.outstanding() == 0U);
  RC_ASSERT(rig.core.IsDrained());
}

}  // namespace
}  // namespace jayrill
