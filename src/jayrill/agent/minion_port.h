#ifndef JAYRILL_AGENT_MINION_PORT_H_
#define JAYRILL_AGENT_MINION_PORT_H_

#include <compare>
#include <cstdint>
#include <functional>

#include "jayrill/agent/announcement.h"
#include "jayrill/agent/run_control.h"
#include "jayrill/agent/task_call.h"
#include "jayrill/job/task_result.h"

namespace jayrill {

/// Calls to the minion that had no answer, since the start of the agent.
struct lost_call_counters {
  std::uint64_t starts = 0;
  std::uint64_t stops = 0;
  std::uint64_t reports = 0;

  auto operator<=>(const lost_call_counters&) const = default;
};

/// Runs tasks on the minion beside the agent. Used only on the Qt thread.
class minion_port {
 public:
  /// Receives the outcomes of the calls.
  struct listener {
    /// The outcome is known. Called once for each call.
    std::function<void(std::uint64_t call, task_result outcome)> on_result;
    /// The call does not use the minion any more, so its slot is free. Called
    /// once for each call, after on_result.
    std::function<void(std::uint64_t call)> on_slot_free;
    /// The order to start the call had no answer, and its run is being stopped
    /// without having been seen; may be empty.
    std::function<void(std::uint64_t call)> on_order_lost = {};
  };

  virtual ~minion_port() = default;

  /// Runs \p call on the minion. The listener receives its outcome.
  virtual void Run(const task_call& call) = 0;

  /// Stops \p call if the minion can stop runs. Its outcome follows in any
  /// case.
  virtual void Stop(std::uint64_t /*call*/) {}

  /// Finds out whether \p minion is what answers at its address. \p done
  /// receives the answer once, now or later, unless this object is destroyed
  /// first. A port that cannot ask takes each announcement as it is.
  virtual void Identify(const announcement& /*minion*/,
                        const std::function<void(identity_answer)>& done) {
    done(identity_answer::kSame);
  }

  /// The minion has announced itself or renewed its announcement.
  virtual void OnAnnounced(const announcement& /*minion*/) {}

  /// Sets whether Run refuses calls because the minion is leaving. This covers
  /// calls that were queued from the RPC thread to this one when it left.
  virtual void SetMinionLeft(bool left) = 0;

  /// \returns the calls without an answer; none for a port that sends each
  /// task as one request.
  virtual lost_call_counters lost_calls() const { return {}; }

  /// \returns the number of calls that have not ended.
  virtual std::uint32_t running() const = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_MINION_PORT_H_
