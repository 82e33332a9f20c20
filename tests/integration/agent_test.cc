#include <array>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "agent_fixture.h"

namespace jayrill {
namespace {

// Guards against a start that does not reach the minion, runs twice when it is
// sent twice, or whose result does not come back.
TEST_F(agent_fixture, RunsAStartOnceAndReportsItsResult) {
  Launch(2);
  const task_result result = RunOne(Order(1, 10));
  EXPECT_EQ(result.outcome, task_outcome::kSucceeded) << result.message;
  EXPECT_EQ(result.body, R"({"task":1,"echo":{"work_ms":10}})");
  entry.Send({config_revision{1}, {}, {Order(1, 10), Order(2, 10)}});
  EXPECT_EQ(ResultOf(2).outcome, task_outcome::kSucceeded);
  EXPECT_EQ(minion->record().total(), 2U);
}

struct fault_case {
  const char* name;
  sample_fault fault;
  int remaining_ms;
  task_outcome outcome;
};

class minion_fault_test : public agent_fixture,
                          public ::testing::WithParamInterface<fault_case> {};

// Guards against a task that runs twice because its request is repeated, and
// against an outcome that says more than the agent can know after the fault.
TEST_P(minion_fault_test, HasTrueOutcomeAndRunsOnce) {
  Launch(1);
  // The first task leaves a connection open that the second one reuses.
  ASSERT_EQ(RunOne(Order(1, 0)).outcome, task_outcome::kSucceeded);
  minion->SetFault(GetParam().fault);
  start_request order = Order(2, 0);
  order.remaining = std::chrono::milliseconds(GetParam().remaining_ms);
  const task_result result = RunOne(order);
  EXPECT_EQ(result.outcome, GetParam().outcome) << result.message;
  EXPECT_FALSE(result.message.empty());
  // A repeated request would arrive before the next task.
  if (GetParam().fault != sample_fault::kNever) {
    minion->SetFault(sample_fault::kNone);
    EXPECT_EQ(RunOne(Order(3, 0)).outcome, task_outcome::kSucceeded);
  }
  EXPECT_EQ(minion->record().CountOf("000000000000004d-1", "2"), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    minion_fault_test,
    ::testing::Values(
        fault_case{"Fail", sample_fault::kFail, 60'000, task_outcome::kFailed},
        fault_case{"NotJson", sample_fault::kNotJson, 60'000,
                   task_outcome::kFailed},
        fault_case{"NotHttp", sample_fault::kNotHttp, 60'000,
                   task_outcome::kUnknown},
        fault_case{"Drop", sample_fault::kDrop, 60'000, task_outcome::kUnknown},
        fault_case{"Reset", sample_fault::kReset, 60'000,
                   task_outcome::kUnknown},
        fault_case{"Truncate", sample_fault::kTruncate, 60'000,
                   task_outcome::kUnknown},
        fault_case{"Huge", sample_fault::kHuge, 60'000, task_outcome::kFailed},
        fault_case{"Endless", sample_fault::kEndless, 60'000,
                   task_outcome::kFailed},
        fault_case{"Never", sample_fault::kNever, 300, task_outcome::kUnknown}),
    [](const auto& tested) { return tested.param.name; });

/// \returns the number of TCP sockets of this machine that are connected to
/// \p port, or were and are not closed yet at this end.
int SocketsTo(std::uint16_t port) {
  std::array<char, 8> remote_port{};
  std::snprintf(remote_port.data(), remote_port.size(), ":%04X", port);
  std::ifstream table("/proc/net/tcp");
  std::string line;
  int count = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    fields >> slot >> local >> remote >> state;
    const bool is_open = state == "01" || state == "08";  // or CLOSE_WAIT
    count += is_open && remote.ends_with(remote_port.data()) ? 1 : 0;
  }
  return count;
}

// Guards against a refused connection that is reported as a possible run.
TEST_F(agent_fixture, ReportsARefusedFirstConnectionAsNotRun) {
  Launch(1);
  minion.reset();
  const task_result result = RunOne(Order(1, 0));
  EXPECT_EQ(result.outcome, task_outcome::kNotRun) << result.message;
  EXPECT_EQ(result.reason, not_run_reason::kConnectionRefused);
}

// Guards against a refused connection that is reported as a possible run, here
// on a new connection after an old one was closed. A request that is written to
// the old connection before the agent has noticed its end may have run, so the
// test waits until the agent has closed the old connection.
TEST_F(agent_fixture, ReportsARefusedConnectionAsNotRun) {
  Launch(1);
  ASSERT_EQ(RunOne(Order(1, 0)).outcome, task_outcome::kSucceeded);
  const std::uint16_t port = minion->port();
  EXPECT_GT(SocketsTo(port), 0) << "no connection was kept";
  minion.reset();
  ASSERT_TRUE(WaitFor([port] { return SocketsTo(port) == 0; }));
  const task_result result = RunOne(Order(2, 0));
  EXPECT_EQ(result.outcome, task_outcome::kNotRun) << result.message;
  EXPECT_EQ(result.reason, not_run_reason::kConnectionRefused);
}

// Guards against a slot that is given to another task while a task may still
// run in it.
TEST_F(agent_fixture, KeepsTheSlotOfATaskPastItsDeadline) {
  agent_settings settings;
  settings.slot_hold_limit = std::chrono::milliseconds(1500);
  Launch(1, settings);
  minion->SetFault(sample_fault::kNever);
  start_request order = Order(1, 0);
  order.remaining = std::chrono::milliseconds(100);
  EXPECT_EQ(RunOne(order).outcome, task_outcome::kUnknown);
  EXPECT_EQ(entry.Record().status.busy, 1U);
  minion->SetFault(sample_fault::kNone);
  EXPECT_EQ(RunOne(Order(2, 0)).outcome, task_outcome::kSucceeded);
  EXPECT_EQ(entry.Record().results.at(start_number{1}).size(), 1U);
}

// Guards against results that are lost when the connection is cut, and against
// starts of the old connection that run although the entry was told that they
// are fenced.
TEST_F(agent_fixture, ResendsResultsAndFencesOldStartsAfterACut) {
  Launch(1);
  entry.HoldAcknowledgements(true);
  ASSERT_EQ(RunOne(Order(1, 0)).outcome, task_outcome::kSucceeded);
  entry.SetWelcome(Config(1), true);
  entry.HoldAcknowledgements(false);
  const auto first = entry.Record().hellos.front();
  entry.Cut();
  ASSERT_TRUE(WaitFor(
      [&] { return entry.Record().results.at(start_number{1}).size() == 2; }));
  const auto second = entry.Record().hellos.back();
  EXPECT_GT(second.epoch, first.epoch);
  EXPECT_EQ(second.last_accepted, start_number{1});
  entry.Send({config_revision{1}, first.epoch, {Order(2, 0)}});
  EXPECT_EQ(RunOne(Order(3, 0)).outcome, task_outcome::kSucceeded);
  const auto results = entry.Record().results;
  EXPECT_FALSE(results.contains(start_number{2}));
  EXPECT_EQ(results.at(start_number{1}).front(),
            results.at(start_number{1}).back());
  EXPECT_EQ(minion->record().total(), 2U);
}

// Guards against results of a closed session that are taken for results of the
// next session, whose start numbers begin again at 1.
TEST_F(agent_fixture, DropsResultsOfAClosedSession) {
  Launch(2);
  entry.Send({config_revision{1}, {}, {Order(1, 300)}});
  ASSERT_TRUE(WaitFor([&] { return minion->running() == 1; }));
  entry.Cut();
  ASSERT_TRUE(WaitFor([&] { return entry.Record().hellos.size() == 2; }));
  entry.Send({config_revision{1}, {}, {Order(1, 600)}});
  EXPECT_EQ(ResultOf(1).body, R"({"task":1,"echo":{"work_ms":600}})");
}

// Guards against a cancelled start that runs although it was waiting, and
// against a running task that a cancellation ends.
TEST_F(agent_fixture, CancelsOnlyWaitingStarts) {
  Launch(1);
  entry.Send({config_revision{1}, {}, {Order(1, 200), Order(2, 0)}});
  ASSERT_TRUE(WaitFor([&] { return minion->running() == 1; }));
  entry.Cancel(start_number{1});
  entry.Cancel(start_number{2});
  EXPECT_EQ(ResultOf(2).reason, not_run_reason::kCancelled);
  EXPECT_EQ(ResultOf(1).outcome, task_outcome::kSucceeded);
  EXPECT_EQ(minion->record().total(), 1U);
}

// Guards against lost or duplicated starts under load, and records the resident
// memory of the process, which holds agent, minion and entry.
TEST_F(agent_fixture, RunsManyStartsOnEverySlot) {
  Launch(8);
  constexpr std::uint64_t kStarts = 3000;
  start_batch batch{config_revision{1}, {}, {}};
  for (std::uint64_t number = 1; number <= kStarts; ++number) {
    batch.starts.push_back(Order(number, 2));
  }
  entry.Send(std::move(batch));
  EXPECT_TRUE(
      WaitFor([&] { return entry.Record().results.size() == kStarts; }));
  EXPECT_EQ(minion->record().total(), kStarts);
  RecordProperty("resident_kb", std::to_string(ResidentKilobytes()));
  std::cout << "resident: " << ResidentKilobytes()
            << " kB, reports: " << entry.Record().reports << '\n';
}

}  // namespace
}  // namespace jayrill
