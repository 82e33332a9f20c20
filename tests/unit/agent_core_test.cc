#include "jayrill/agent/agent_core.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <set>

#include "jayrill/agent/backoff.h"
#include "jayrill/agent/report_schedule.h"
#include "jayrill/base/random_source.h"
#include "jayrill/config/config_codec.h"
#include "jayrill/session/start_window.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

constexpr incarnation kEntry{1};

struct recording_host : agent_core::host {
  void Call(task_call call) override { calls.push_back(std::move(call)); }
  void ResultReady(incarnation) override {}
  void StatusChanged() override {}
  void PauseDetected() override { ++pauses; }

  std::deque<task_call> calls;
  int pauses = 0;
};

agent_settings Settings() {
  agent_settings settings;
  settings.data_centre = "east";
  settings.queue_limit = 3;
  return settings;
}

announcement Minion(std::uint32_t slots) {
  announcement minion;
  minion.service = "quotes";
  minion.port = 8000;
  minion.slots = slots;
  minion.connections = 64;
  return minion;
}

config_copy Config(std::uint64_t revision, const std::string& out = "") {
  cluster_config config;
  config.revision = {revision};
  if (!out.empty()) {
    config.data_centres[out].out = true;
  }
  return {config.revision, EncodeConfig(config, audit_trail::kOmitted)};
}

start_order Order(std::uint64_t number) {
  start_order order;
  order.number = {number};
  order.service = "quotes";
  order.remaining = milliseconds(60'000);
  return order;
}

// An agent with one slot, a minion and an open session.
struct core_rig {
  core_rig() {
    core.OfferConfig(Config(5));
    core.Announce(Minion(1));
    epoch = core.Connect(kEntry).epoch;
    core.Welcome(kEntry, false);
  }

  void Send(std::vector<start_order> starts, std::uint64_t revision = 5) {
    core.HandleBatch(kEntry, {{revision}, epoch, std::move(starts)});
  }

  std::vector<task_result> Results() {
    std::vector<task_result> results;
    for (const task_result* result :
         core.Session(kEntry).TakeUnsent(1U << 30U)) {
      results.push_back(*result);
    }
    return results;
  }

  manual_clock time;
  recording_host host;
  agent_core core{Settings(), time, host};
  connection_epoch epoch;
};

struct refusal_case {
  const char* name;
  not_run_reason reason;
  // Applied before start 1 arrives (on_arrival) or while it waits.
  bool on_arrival;
  void (*change)(core_rig& rig, start_order& order);
};

class refusal_test : public ::testing::TestWithParam<refusal_case> {};

// Guards against a start that runs against one of the seven conditions, and
// against a wrong reason for its refusal.
TEST_P(refusal_test, RefusesWithReason) {
  core_rig rig;
  rig.Send({Order(1)});  // Takes the only slot.
  ASSERT_EQ(rig.host.calls.size(), 1U);
  start_order order = Order(2);
  if (GetParam().on_arrival) {
    GetParam().change(rig, order);
    rig.Send({order});
  } else {
    rig.Send({order});
    GetParam().change(rig, order);
    rig.core.OnSlotFree(rig.host.calls.front().id);
  }
  const auto results = rig.Results();
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results.front().number, start_number{2});
  EXPECT_EQ(results.front().outcome, task_outcome::kNotRun);
  EXPECT_EQ(results.front().reason, GetParam().reason);
  EXPECT_EQ(rig.host.calls.size(), 1U);
}

void TakeOut(core_rig& rig, start_order&) {
  rig.core.OfferConfig(Config(6, "east"));
}
void TakeOutAndSendAnew(core_rig& rig, start_order& order) {
  TakeOut(rig, order);
  rig.core.Announce(Minion(1));
}
void Leave(core_rig& rig, start_order&) {
  rig.core.Leave();
}
void Drain(core_rig& rig, start_order&) {
  rig.core.Drain();
}
void SilenceMinion(core_rig& rig, start_order&) {
  for (int i = 0; i < 16; ++i) {
    rig.time.Advance(milliseconds(200));
    rig.core.Tick();
  }
}
void UseUpDeadline(core_rig&, start_order& order) {
  order.remaining = milliseconds(0);
}
void LetDeadlinePass(core_rig& rig, start_order&) {
  for (int i = 0; i < 120; ++i) {
    rig.time.Advance(milliseconds(600));
    rig.core.Announce(Minion(1));
    rig.core.Tick();
  }
}
void Pause(core_rig& rig, start_order&) {
  rig.time.Advance(milliseconds(1001));
}
void OtherService(core_rig&, start_order& order) {
  order.service = "grants";
}
void ChangeService(core_rig& rig, start_order&) {
  announcement minion = Minion(1);
  minion.service = "grants";
  rig.core.Announce(minion);
}
void CancelIt(core_rig& rig, start_order& order) {
  rig.core.Cancel(kEntry, std::vector<start_number>{order.number});
}
void NewerConfig(core_rig& rig, start_order&) {
  rig.core.OfferConfig(Config(6));
}

INSTANTIATE_TEST_SUITE_P(
    Conditions,
    refusal_test,
    ::testing::Values(
        refusal_case{"StaleConfig", not_run_reason::kStaleConfig, true,
                     NewerConfig},
        refusal_case{"WaitingOut", not_run_reason::kDataCentreOut, false,
                     TakeOut},
        refusal_case{"WaitingOutAnnounced", not_run_reason::kDataCentreOut,
                     false, TakeOutAndSendAnew},
        refusal_case{"Left", not_run_reason::kDraining, true, Leave},
        refusal_case{"WaitingLeft", not_run_reason::kDraining, false, Leave},
        refusal_case{"Stopping", not_run_reason::kDraining, true, Drain},
        refusal_case{"WaitingStopping", not_run_reason::kDraining, false,
                     Drain},
        refusal_case{"NoMinion", not_run_reason::kNoMinion, true,
                     SilenceMinion},
        refusal_case{"WaitingNoMinion", not_run_reason::kNoMinion, false,
                     SilenceMinion},
        refusal_case{"Expired", not_run_reason::kExpired, true, UseUpDeadline},
        refusal_case{"WaitingExpired", not_run_reason::kExpired, false,
                     LetDeadlinePass},
        refusal_case{"WaitingPaused", not_run_reason::kPaused, false, Pause},
        refusal_case{"WrongService", not_run_reason::kWrongService, true,
                     OtherService},
        refusal_case{"WaitingWrongService", not_run_reason::kWrongService,
                     false, ChangeService},
        refusal_case{"WaitingCancelled", not_run_reason::kCancelled, false,
                     CancelIt}),
    [](const auto& tested) { return tested.param.name; });

// Guards against a queue that grows without bound.
TEST(agent_core_test, RefusesBeyondTheQueueLimit) {
  core_rig rig;
  rig.Send({Order(1), Order(2), Order(3), Order(4), Order(5)});
  const auto results = rig.Results();
  ASSERT_EQ(results.size(), 2U);
  EXPECT_EQ(results.front().reason, not_run_reason::kQueueFull);
}

// Guards against starts in a data centre that is out: also a batch of the
// newest revision is refused.
TEST(agent_core_test, RefusesInDataCentreThatIsOut) {
  core_rig rig;
  rig.core.OfferConfig(Config(6, "east"));
  rig.core.OfferConfig(Config(5));  // An older one must not undo it.
  rig.Send({Order(1)}, 6);
  const auto results = rig.Results();
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results.front().reason, not_run_reason::kDataCentreOut);
  EXPECT_TRUE(rig.host.calls.empty());
}

// Guards against a paused agent that accepts what waited in its sockets. The
// reconnect fences the starts, so they are not reported.
TEST(agent_core_test, AcceptsNothingAfterAPause) {
  core_rig rig;
  rig.time.Advance(milliseconds(1001));
  rig.Send({Order(1)});
  rig.Send({Order(2)});
  EXPECT_EQ(rig.host.pauses, 1);
  EXPECT_TRUE(rig.host.calls.empty());
  EXPECT_TRUE(rig.Results().empty());
  const auto opening = rig.core.Connect(kEntry);
  EXPECT_GT(opening.epoch, rig.epoch);
  EXPECT_EQ(opening.last_accepted, start_number{0});
}

// Guards against queued starts of a dead entry that run all the same.
TEST(agent_core_test, WithdrawsStartsOfALostSession) {
  core_rig rig;
  rig.Send({Order(1), Order(2)});
  rig.core.Disconnect(kEntry, rig.epoch);
  for (int i = 0; i < 14; ++i) {
    rig.time.Advance(milliseconds(250));
    rig.core.Announce(Minion(1));
    rig.core.Tick();
  }
  rig.core.OnSlotFree(rig.host.calls.front().id);
  EXPECT_EQ(rig.host.calls.size(), 1U);
  EXPECT_EQ(rig.core.counters().lost_sessions, 1U);
}

// Guards against late announcements that bring a leaving minion back.
TEST(agent_core_test, IgnoresAnnouncementsOfALeavingMinion) {
  core_rig rig;
  rig.core.Leave();
  rig.core.Announce(Minion(1));
  EXPECT_TRUE(rig.core.Status().draining);
  for (int i = 0; i < 13; ++i) {
    rig.time.Advance(milliseconds(250));
    rig.core.Tick();
  }
  rig.core.Announce(Minion(1));
  EXPECT_FALSE(rig.core.Status().draining);
}

// Guards against double execution, untrue refusals, work beyond the slots,
// starts in a data centre that is out, and starts without any result, under a
// random order of batches, cancellations, cuts, pauses, leaves and changes.
RC_GTEST_PROP(agent_core_property,
              RunsAtMostOnceAndRefusesTruly,
              (std::uint64_t seed)) {
  random_source random(seed);
  core_rig rig;
  start_window window;
  window.Resume(rig.epoch, {});
  std::deque<start_batch> in_flight;
  std::map<std::uint32_t, int> runs;  // By task; every start is a new task.
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
  const auto settle = [&](const task_result& result) {
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
      settle(result);
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
          start_order order = Order(window.Add({{}, ++next_task}).value);
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
          rig.core.HandleBatch(kEntry, in_flight.front());
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
  // What still is in flight was never accepted; the reconnect fences it.
  reconnect(true);
  deliver_results();
  RC_ASSERT(window.outstanding() == 0U);
  RC_ASSERT(rig.core.IsDrained());
}

// Guards against reports that flood the entry, and against heartbeats and dead
// connections that are missed.
TEST(report_schedule_test, ThrottlesStatusAndDetectsSilence) {
  const steady_time start{std::chrono::hours(1)};
  report_schedule schedule(milliseconds(20));
  minion_status status;
  schedule.Open(start, milliseconds(1000), status);
  EXPECT_FALSE(schedule.StatusDue(status));
  status.expected_free = milliseconds(5);
  EXPECT_FALSE(schedule.StatusDue(status));
  status.busy = 1;
  EXPECT_EQ(schedule.StatusDue(status), start + milliseconds(20));
  schedule.OnReport(start + milliseconds(30), status);
  EXPECT_FALSE(schedule.StatusDue(status));
  EXPECT_FALSE(schedule.IsHeartbeatDue(start + milliseconds(1029)));
  EXPECT_TRUE(schedule.IsHeartbeatDue(start + milliseconds(1030)));
  EXPECT_FALSE(schedule.IsSilent(start + milliseconds(3000)));
  EXPECT_TRUE(schedule.IsSilent(start + milliseconds(3001)));
  schedule.OnHeard(start + milliseconds(10));
  EXPECT_FALSE(schedule.IsSilent(start + milliseconds(3001)));
}

// Guards against an agent that keeps the heartbeat interval of the time when
// it connected while the number of sessions of the entry changes.
TEST(report_schedule_test, FollowsTheIntervalsOfItsEntries) {
  const steady_time start{std::chrono::hours(1)};
  report_schedule schedule(milliseconds(20));
  schedule.Open(start, milliseconds(1000), {});
  schedule.SetHeartbeat(milliseconds(0));
  EXPECT_EQ(schedule.heartbeat(), milliseconds(1000));
  schedule.SetHeartbeat(milliseconds(4000));
  EXPECT_FALSE(schedule.IsHeartbeatDue(start + milliseconds(3999)));
  EXPECT_FALSE(schedule.IsSilent(start + milliseconds(12000)));
  EXPECT_TRUE(schedule.IsSilent(start + milliseconds(12001)));
  EXPECT_EQ(StatusInterval(milliseconds(20), 1), milliseconds(20));
  EXPECT_EQ(StatusInterval(milliseconds(20), 3), milliseconds(20));
  EXPECT_EQ(StatusInterval(milliseconds(20), 12), milliseconds(240));
}

// Guards against agents that dial a returning entry without pause or all at
// once.
RC_GTEST_PROP(backoff_property, StaysInItsBounds, (std::uint64_t seed)) {
  random_source random(seed);
  backoff delays;
  milliseconds step = backoff::kFirst;
  for (int i = 0; i < 10; ++i) {
    const milliseconds delay = delays.Next(random);
    RC_ASSERT(delay >= step / 2 && delay <= step);
    step = std::min(step * 2, backoff::kLongest);
  }
}

}  // namespace
}  // namespace jayrill
