#ifndef JAYRILL_AGENT_AGENT_CORE_H_
#define JAYRILL_AGENT_AGENT_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "jayrill/agent/agent_counters.h"
#include "jayrill/agent/agent_settings.h"
#include "jayrill/agent/announcement.h"
#include "jayrill/agent/config_copy.h"
#include "jayrill/agent/entry_session.h"
#include "jayrill/agent/run_queue.h"
#include "jayrill/agent/task_call.h"
#include "jayrill/base/clock.h"
#include "jayrill/config/cluster_config.h"
#include "jayrill/job/task_result.h"
#include "jayrill/session/pause_detector.h"

namespace jayrill {

/// A batch of starts as it arrived from an entry.
struct start_batch {
  config_revision revision;
  connection_epoch epoch;
  std::vector<start_order> starts;

  auto operator<=>(const start_batch&) const = default;
};

/// Decides about every start: the gate, the run queue and the state of the
/// minion, of the configuration and of the sessions.
///
/// Works on plain values without RPC, HTTP or threads. One thread owns it.
class agent_core {
 public:
  /// What the core asks of its surroundings. The functions must not call the
  /// core back.
  class host {
   public:
    virtual ~host() = default;

    /// Calls the minion; OnResult and OnSlotFree follow once each.
    virtual void Call(task_call call) = 0;
    /// Stops \p call if the minion can do so.
    virtual void StopCall(std::uint64_t /*call*/) {}
    /// The session with \p entry has a result to report.
    virtual void ResultReady(incarnation entry) = 0;
    /// Status() has changed.
    virtual void StatusChanged() = 0;
    /// The process was paused: all connections must be dropped.
    virtual void PauseDetected() = 0;
  };

  agent_core(agent_settings settings, const clock& time, host& owner);

  void Announce(const announcement& minion);
  void Leave();

  /// Offers a configuration of an entry; only a newer one is adopted.
  void OfferConfig(const config_copy& offered);

  entry_session::opening Connect(incarnation entry);
  void Welcome(incarnation entry, bool resumed);
  /// The connection \p epoch of \p entry has ended.
  void Disconnect(incarnation entry, connection_epoch epoch);

  /// Admits or refuses each start of \p batch.
  void HandleBatch(incarnation entry, const start_batch& batch);

  /// Withdraws those of \p numbers that wait for a slot.
  void Cancel(incarnation entry, std::span<const start_number> numbers);

  /// The outcome of a call; the slot stays busy until OnSlotFree.
  void OnResult(std::uint64_t call, task_result outcome);
  void OnSlotFree(std::uint64_t call);

  /// Called every kPauseTick.
  void Tick();

  /// Sets the heartbeat interval that the entries have asked for.
  void SetHeartbeat(std::chrono::milliseconds interval);

  /// Starts nothing more and gives queued starts back.
  void Drain();

  /// \returns true when nothing runs and every result is acknowledged, or its
  /// session lost.
  bool IsDrained() const;

  minion_status Status() const;
  entry_session& Session(incarnation entry) { return sessions_[entry]; }
  bool IsConnected(incarnation entry) const;

  /// Notes a sign of life of \p entry.
  void OnHeard(incarnation entry);

  /// \returns true when tasks of \p entry run and its silence would stop them.
  bool HasGuardedRuns(incarnation entry) const;
  const config_copy& config() const { return config_; }
  agent_counters& counters() { return counters_; }

 private:
  struct running_call {
    incarnation entry;
    std::uint64_t generation = 0;
    start_number number;
    steady_time arrived;
    steady_time released;
    std::chrono::microseconds run_time{};
    resource_amount needs;
    bool stopped = false;  ///< Because its entry was silent.
  };
  struct refusal {
    not_run_reason reason;
    std::string message;
  };

  bool IsAnnounced() const;
  std::uint32_t slots() const;
  resource_amount room() const;
  bool CheckPause();
  void HandlePause();
  void DispatchWaiting();
  void Release(queued_start start);
  void Enqueue(incarnation entry, const start_order& order);
  void GiveBack(const std::function<bool(const queued_start&)>& matches,
                const refusal& why);
  void Refuse(incarnation entry,
              start_number number,
              const refusal& why,
              std::chrono::microseconds waited);
  void Report(incarnation entry, task_result outcome);
  void CloseLostSessions();
  void StopSilentRuns();
  void StopRuns(const std::function<bool(const running_call&)>& matches);

  /// Conditions that are checked on arrival and again when a slot is free.
  std::optional<refusal> Blocked(const start_order& order,
                                 steady_time deadline) const;

  const agent_settings settings_;
  const clock& time_;
  host& host_;
  pause_detector pause_;
  run_queue queue_;
  std::map<incarnation, entry_session> sessions_;
  std::map<std::uint64_t, running_call> running_;
  std::uint64_t last_call_ = 0;
  std::optional<announcement> minion_;
  steady_time announced_at_;
  std::optional<steady_time> left_at_;
  bool stopping_ = false;
  config_copy config_;
  bool out_ = false;
  std::chrono::milliseconds heartbeat_{1000};
  agent_counters counters_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_AGENT_CORE_H_
