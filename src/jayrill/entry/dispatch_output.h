#ifndef JAYRILL_ENTRY_DISPATCH_OUTPUT_H_
#define JAYRILL_ENTRY_DISPATCH_OUTPUT_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "jayrill/entry/agent_hello.h"
#include "jayrill/entry/dispatch_port.h"
#include "jayrill/job/start_request.h"

namespace jayrill {

/// Starts for one agent, which were placed under one configuration.
struct start_batch {
  config_revision revision;
  connection_epoch epoch;
  std::vector<start_request> starts;
  /// Lower bound of the agent's clock when the starts were placed; zero: not
  /// known.
  std::chrono::microseconds agent_time{};
};

/// Receives what the dispatcher sends. Implemented over RPC, and by test fakes.
///
/// The functions must not call the dispatcher back before they return.
class dispatch_output {
 public:
  virtual ~dispatch_output() = default;

  /// Sends \p batch after everything that was sent to \p agent before.
  virtual void SendStarts(agent_handle agent, start_batch batch) = 0;

  /// Cancels those of the starts that still wait in the queue of \p agent.
  virtual void SendCancel(agent_handle agent,
                          std::vector<start_number> numbers) = 0;

  /// Sends \p config. The answer of the agent goes to
  /// dispatcher::OnConfigAcknowledged with the same \p push.
  virtual void PushConfig(agent_handle agent,
                          shared_config config,
                          std::uint64_t push) = 0;

  /// Closes the connection of an agent that has been silent for too long.
  virtual void Disconnect(agent_handle agent) = 0;

  /// Reports the outcome of a submitted job; called once for each.
  virtual void JobDecided(job_id job, job_outcome outcome) = 0;

  /// Called when an agent has sent a newer configuration, which the dispatcher
  /// applies right after this call.
  virtual void NewerConfig(shared_config config) = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_DISPATCH_OUTPUT_H_
