#ifndef JAYRILL_TESTS_INTEGRATION_AGENT_FIXTURE_H_
#define JAYRILL_TESTS_INTEGRATION_AGENT_FIXTURE_H_

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <string>

#include "fake_entry.h"
#include "jayrill/agent.h"
#include "jayrill/config/config_codec.h"
#include "jayrill/sample.h"

namespace jayrill {

/// The system clock plus an offset that a test increases, which looks to the
/// agent like a pause of the process.
class shifted_clock final : public clock {
 public:
  steady_time Now() const override { return base_.Now() + shift_.load(); }
  wall_time WallNow() const override { return base_.WallNow(); }
  void Shift(std::chrono::milliseconds step) { shift_ = shift_.load() + step; }

 private:
  system_clock base_;
  std::atomic<std::chrono::milliseconds> shift_{};
};

/// An agent with a fake entry and a sample backend as its minion, all in one
/// process.
class agent_fixture : public ::testing::Test {
 protected:
  agent_fixture() {
    static int argument_count = 1;
    static char name[] = "agent_test";
    static char* arguments[] = {name, nullptr};
    static QCoreApplication application(argument_count, arguments);
  }

  /// Runs the Qt event loop until \p condition holds.
  /// \returns false when that has taken longer than 60 s, which only a failing
  /// test reaches.
  static bool WaitFor(const std::function<bool()>& condition) {
    const auto give_up_at =
        std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > give_up_at) {
        return false;
      }
      QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
    return true;
  }

  static config_copy Config(std::uint64_t revision,
                            const std::string& out = "") {
    cluster_config config;
    config.revision = {revision};
    if (!out.empty()) {
      config.data_centres[out].out = true;
    }
    return {config.revision, PackConfig(config)};
  }

  static start_request Order(std::uint64_t number, int work_ms) {
    start_request order;
    order.number = {number};
    order.job = {incarnation{77}, 1};
    order.task_index = static_cast<std::uint32_t>(number);
    order.service = "sample";
    order.kind = "test";
    order.payload = "{\"work_ms\":" + std::to_string(work_ms) + "}";
    order.remaining = std::chrono::seconds(60);
    return order;
  }

  /// Starts an agent and a minion with \p slots slots, and waits until the
  /// agent has reported the slots to the entry.
  void Launch(std::uint32_t slots, agent_settings settings = {}) {
    entry.SetWelcome(Config(1), false);
    settings.id = "a1";
    settings.data_centre = "east";
    settings.entries = {entry.address()};
    agent = std::make_unique<agent_process>(settings, time);
    ASSERT_TRUE(agent->Start());
    sample_settings minion_settings;
    minion_settings.slots = slots;
    minion_settings.agent_address =
        "127.0.0.1:" + std::to_string(agent->http_port());
    minion = std::make_unique<sample_backend>(minion_settings, time);
    ASSERT_TRUE(minion->Start());
    ASSERT_TRUE(WaitFor([&] { return entry.Record().status.slots == slots; }));
  }

  /// Sends one start and waits for its first result.
  task_result RunOne(const start_request& order, std::uint64_t revision = 1) {
    entry.Send({config_revision{revision}, {}, {order}});
    return ResultOf(order.number.value);
  }

  /// Waits for the first result of the start \p number.
  task_result ResultOf(std::uint64_t number) {
    task_result result;
    EXPECT_TRUE(WaitFor([&] {
      const auto results = entry.Record().results;
      const auto found = results.find(start_number{number});
      if (found != results.end()) {
        result = found->second.front();
      }
      return found != results.end();
    }));
    return result;
  }

  /// \returns the resident memory of this process.
  static long ResidentKilobytes() {
    std::ifstream status("/proc/self/status");
    for (std::string word; status >> word;) {
      if (word == "VmRSS:") {
        long kilobytes = 0;
        status >> kilobytes;
        return kilobytes;
      }
    }
    return 0;
  }

  shifted_clock time;
  fake_entry entry{1};
  std::unique_ptr<agent_process> agent;
  std::unique_ptr<sample_backend> minion;
};

}  // namespace jayrill

#endif  // JAYRILL_TESTS_INTEGRATION_AGENT_FIXTURE_H_
