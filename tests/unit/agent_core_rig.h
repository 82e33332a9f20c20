#ifndef JAYRILL_TESTS_UNIT_AGENT_CORE_RIG_H_
#define JAYRILL_TESTS_UNIT_AGENT_CORE_RIG_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "jayrill/agent/agent_core.h"
#include "jayrill/config/config_codec.h"

namespace jayrill {

using std::chrono::milliseconds;

inline constexpr incarnation kEntry{1};

/// Records the requests of the core.
struct recording_host : agent_core::host {
  void Call(task_call call) override { calls.push_back(std::move(call)); }
  void StopCall(std::uint64_t call) override { stopped.push_back(call); }
  void ResultReady(incarnation) override {}
  void StatusChanged() override {}
  void PauseDetected() override { ++pauses; }

  std::deque<task_call> calls;
  std::vector<std::uint64_t> stopped;
  int pauses = 0;
};

inline agent_settings Settings() {
  agent_settings settings;
  settings.data_centre = "east";
  settings.queue_limit = 3;
  return settings;
}

inline announcement Minion(std::uint32_t slots) {
  announcement minion;
  minion.service = "quotes";
  minion.port = 8000;
  minion.slots = slots;
  minion.connections = 64;
  return minion;
}

inline config_copy Config(std::uint64_t revision, const std::string& out = "") {
  cluster_config config;
  config.revision = {revision};
  if (!out.empty()) {
    config.data_centres[out].out = true;
  }
  return {config.revision, PackConfig(config)};
}

inline start_request Order(std::uint64_t number) {
  start_request order;
  order.number = {number};
  order.service = "quotes";
  order.remaining = std::chrono::milliseconds(60'000);
  return order;
}

/// An agent core with configuration revision 5, an announced minion with one
/// slot and a connected session with kEntry.
struct core_rig {
  explicit core_rig(const agent_settings& settings = Settings())
      : core(settings, time, host) {
    core.OfferConfig(Config(5));
    core.Announce(Minion(1));
    epoch = core.Connect(kEntry).epoch;
    core.Welcome(kEntry, false);
  }

  void Send(std::vector<start_request> starts, std::uint64_t revision = 5) {
    core.AdmitBatch(kEntry, {{revision}, epoch, std::move(starts)});
  }

  /// \returns the results that were not sent yet; they count as sent.
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
  agent_core core;
  connection_epoch epoch;
};

}  // namespace jayrill

#endif  // JAYRILL_TESTS_UNIT_AGENT_CORE_RIG_H_
