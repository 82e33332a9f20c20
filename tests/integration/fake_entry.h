#ifndef JAYRILL_TESTS_INTEGRATION_FAKE_ENTRY_H_
#define JAYRILL_TESTS_INTEGRATION_FAKE_ENTRY_H_

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "jayrill/agent/agent_core.h"
#include "jayrill/agent/config_copy.h"
#include "jayrill/base/work_queue.h"
#include "jayrill/config/out_list.h"
#include "jayrill/rpc/dispatch.capnp.h"

namespace jayrill {

/// An entry for tests of the agent. Serves the RPC interface on a thread of its
/// own and records what agents send. All functions are called on the thread of
/// the test.
class fake_entry {
 public:
  /// Everything that agents have sent so far.
  struct record {
    std::vector<entry_session::opening> hellos;
    std::vector<config_revision> hello_configs;
    std::map<start_number, std::vector<task_result>> results;
    minion_status status;
    config_revision newest_config;
    /// The last list that an agent has sent in a report.
    out_list newest_out_list;
    std::uint64_t reports = 0;
    /// The agent's times in the newest hello and in the newest report.
    std::uint64_t hello_sent_micros = 0;
    std::uint64_t report_sent_micros = 0;
    int goodbyes = 0;
  };

  explicit fake_entry(std::uint64_t incarnation_value);
  ~fake_entry();
  fake_entry(const fake_entry&) = delete;
  fake_entry& operator=(const fake_entry&) = delete;

  std::string address() const;
  record Record() const;

  /// Sends \p batch on the newest connection. If its epoch is 0, the epoch of
  /// the newest hello is sent instead.
  void Send(start_batch batch);
  void Cancel(start_number number);
  void Configure(const config_copy& config);
  void Heartbeat(const std::vector<std::string>& entries);

  /// Sets the contents of all later welcomes.
  void SetWelcome(const config_copy& config,
                  bool resumed,
                  session_number number = {});
  /// Sets the intervals that later welcomes and answers to reports ask for.
  void SetIntervals(std::chrono::milliseconds heartbeat,
                    std::chrono::milliseconds status);
  /// While set, reports are recorded but not acknowledged.
  void HoldAcknowledgements(bool hold_acknowledgements);
  /// Closes all connections. Agents can dial again.
  void Cut();

 private:
  class port;
  class session;
  struct peer;
  struct state;

  void Post(std::function<void(state&)> work);

  const std::uint64_t incarnation_;
  mutable std::mutex mutex_;
  record record_;
  unsigned port_ = 0;
  work_queue inbox_;
  state* state_ = nullptr;
  std::thread thread_;
};

}  // namespace jayrill

#endif  // JAYRILL_TESTS_INTEGRATION_FAKE_ENTRY_H_
