#ifndef JAYRILL_AGENT_AGENT_CORE_H_
#define JAYRILL_AGENT_AGENT_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "jayrill/agent/agent_counters.h"
#include "jayrill/agent/agent_settings.h"
#include "jayrill/agent/announcement.h"
#include "jayrill/agent/config_copy.h"
#include "jayrill/agent/crash_log.h"
#include "jayrill/agent/entry_session.h"
#include "jayrill/agent/minion_departure.h"
#include "jayrill/agent/room_share.h"
#include "jayrill/agent/run_pace.h"
#include "jayrill/agent/run_queue.h"
#include "jayrill/agent/running_calls.h"
#include "jayrill/agent/task_call.h"
#include "jayrill/base/clock.h"
#include "jayrill/base/log_limit.h"
#include "jayrill/config/cluster_config.h"
#include "jayrill/config/known_out_list.h"
#include "jayrill/job/task_result.h"
#include "jayrill/session/pause_detector.h"

namespace jayrill {

/// Interval at which waiting starts are checked for their max_wait.
inline constexpr std::chrono::milliseconds kWaitCheckInterval{20};

/// A batch of starts as it arrived from an entry.
struct start_batch {
  config_revision revision;  ///< Configuration that the entry used.
  connection_epoch epoch;    ///< Connection that carried the batch.
  std::vector<start_request> starts;
  /// The entry placed the starts then or later; nothing when it is not known.
  std::optional<steady_time> placed = std::nullopt;

  auto operator<=>(const start_batch&) const = default;
};

/// Admits or refuses the starts that entries send, queues admitted ones by
/// priority, starts them on the minion when a slot is free, and keeps each
/// result until its entry has acknowledged it.
///
/// Works on plain values and does no RPC, HTTP or locking; all calls must come
/// from one thread.
class agent_core {
 public:
  /// Actions that the core requests from the agent process. Implementations
  /// must not call into the core before they return.
  class host {
   public:
    virtual ~host() = default;

    /// Runs \p call on the minion. The process must call OnResult and then
    /// OnSlotFree exactly once for it.
    virtual void Call(task_call call) = 0;
    /// Stops \p call if the minion can stop runs. OnResult and OnSlotFree
    /// follow in any case.
    virtual void StopCall(std::uint64_t /*call*/) {}
    /// A result for \p entry was added to its session and can be sent.
    virtual void ResultReady(incarnation entry) = 0;
    /// Status() may have changed.
    virtual void StatusChanged() = 0;
    /// The process was paused: close all connections to entries. The
    /// reconnect fences starts that were received during the pause.
    virtual void PauseDetected() = 0;
  };

  agent_core(agent_settings settings, const clock& time, host& callbacks);

  /// Stores what the minion says about itself and renews its time to live,
  /// agent_settings::announce_ttl.
  void Announce(const announcement& minion);

  /// The minion is shutting down: refuses the queued starts and all new ones
  /// until a minion is announced again.
  void Leave();

  /// Adopts a configuration received from an entry if it is newer than the
  /// current one.
  void OfferConfig(const config_copy& offered);

  /// Adopts the data centres that are out if \p list is newer, whoever has sent
  /// it. \p confirmed: the store held \p list then or later.
  /// \returns true when other data centres are out than before.
  bool OfferOutList(out_list list,
                    std::optional<steady_time> confirmed = std::nullopt);

  /// Begins a connection to \p entry and fences the starts of earlier ones.
  /// \returns the session state to send in the hello.
  entry_session::opening Connect(incarnation entry);

  /// \p entry has answered the hello with \p session. Unless it \p resumed the
  /// session, the queued and running starts of the old session are withdrawn
  /// and stopped.
  void Welcome(incarnation entry, bool resumed, session_number session = {});

  /// The connection \p epoch of \p entry has ended. Ignored when a newer
  /// connection has replaced it.
  void Disconnect(incarnation entry, connection_epoch epoch);

  /// Refuses further starts of \p entry, because the agent is about to close
  /// its session, or accepts them again.
  void SetRetiring(incarnation entry, bool retiring);

  /// \returns true when no start of \p entry waits or runs and all its results
  /// were acknowledged.
  bool IsIdle(incarnation entry) const;

  /// Admits or refuses each start of \p batch. Refuses all when they were
  /// placed more than agent_settings::silence_timeout ago. Drops the whole
  /// batch after a pause of the process.
  void AdmitBatch(incarnation entry, const start_batch& batch);

  /// Withdraws those of \p numbers that wait for a slot and stops those that
  /// run.
  void Cancel(incarnation entry, std::span<const start_number> numbers);

  /// Reports the outcome of a call to its entry. The slot stays busy until
  /// OnSlotFree.
  void OnResult(std::uint64_t call, task_result outcome);

  /// The order to start \p call had no answer, and its run is being stopped.
  /// Its slot is still busy, but the time says nothing about the minion's
  /// speed.
  void OnOrderLost(std::uint64_t call);

  /// Frees the slot of \p call and starts waiting starts.
  void OnSlotFree(std::uint64_t call);

  /// Gives back the starts that have waited for much longer than they may. Must
  /// be called every kWaitCheckInterval while starts wait.
  void GiveBackLateStarts();

  /// \returns true when starts wait for a slot.
  bool HasWaitingStarts() const { return queue_.waiting() > 0; }

  /// Applies all time limits. Must be called every kPauseTick.
  void Tick();

  /// Sets the heartbeat interval that the entries have asked for; it bounds
  /// the time after which a session counts as lost.
  void SetHeartbeat(std::chrono::milliseconds interval);

  /// Begins the graceful stop of the agent: refuses the queued starts and all
  /// new ones.
  void Drain();

  /// \returns true when nothing runs and every result was acknowledged or
  /// belongs to a lost session.
  bool IsDrained() const;

  minion_status Status() const;
  /// \returns the status as \p entry should see it: a retiring session is shown
  /// as draining, so that the entry sends no further starts.
  minion_status StatusFor(incarnation entry) const;
  entry_session& Session(incarnation entry) { return sessions_[entry]; }
  bool IsConnected(incarnation entry) const;

  /// A message of \p entry shows that it was alive at \p when. Messages may
  /// wait in sockets, so this is not the time of their arrival.
  void OnAlive(incarnation entry, steady_time when);

  /// \p entry has answered the report that was sent at \p sent. Cancellations
  /// travel in order with such answers, so that it still waited for the runs
  /// that it has not cancelled, or did so \p callers_lag earlier: for that long
  /// it may have missed that callers have left.
  void OnReportAnswered(incarnation entry,
                        steady_time sent,
                        std::chrono::milliseconds callers_lag);

  /// \returns true when tasks of \p entry run and would be stopped if the entry
  /// stayed silent for agent_settings::silence_timeout.
  bool HasGuardedRuns(incarnation entry) const;
  const config_copy& config() const { return config_; }
  const known_out_list& data_centres_out() const { return out_list_; }
  agent_counters& counters() { return counters_; }
  const std::map<std::string, queue_usage>& queue_usages() const {
    return shares_.usage();
  }

 private:
  struct refusal {
    not_run_reason reason;
    std::string message;
  };

  bool IsAnnounced() const;
  /// \returns false for a service that no route names, where services have
  /// routes. The present minion keeps its service while its routes come and go.
  bool IsServiceKnown(const std::string& service) const;
  bool IsRetiring(incarnation entry) const;

  /// \returns how long \p order, which arrives now, is expected to
  /// wait for a slot and for its resources.
  std::chrono::milliseconds ExpectedWait(const start_request& order) const;

  /// \returns true when \p order, which arrives now, would wait for longer than
  /// it may.
  bool WouldWaitTooLong(const start_request& order);

  /// \returns which waiting starts go before the others while queues compete
  /// for the room: those of queues below their share.
  run_queue::start_check StartsGoingFirst() const;

  /// Logs when queues begin or cease to compete for the room.
  void LogContention();

  /// \returns the slowness of the minion in percent for its status, or 0 when
  /// it is not known.
  std::uint32_t SlownessPercent() const;
  std::uint32_t slots() const;
  resource_amount room() const;

  /// \returns true when \p batch was on its way for so long that its entry may
  /// have closed the session, and the caller may have submitted the job again.
  bool IsLate(const start_batch& batch) const;

  /// Handles a pause of the process that no tick has seen yet.
  /// \returns true when there was one.
  bool CheckPause();
  void DisconnectAfterPause();
  void DispatchWaiting();
  void StartCall(queued_start start);
  void Enqueue(incarnation entry,
               const start_request& order,
               steady_time placed);
  void RefuseWaiting(const std::function<bool(const queued_start&)>& matches,
                     const refusal& why);
  void RefuseAllWaiting(const refusal& why);
  void RefuseWaitingOf(incarnation entry, const refusal& why);
  void Refuse(incarnation entry,
              start_number number,
              const refusal& why,
              std::chrono::microseconds waited);
  void Report(incarnation entry, task_result outcome);
  void CloseLostSessions();
  void StopRunsOfSilentEntries();
  void StopRuns(const running_calls::call_check& matches);
  void StopRunsOf(incarnation entry);

  /// \returns why \p order must not run now, else nothing. Checked on arrival
  /// and again when a slot is free.
  std::optional<refusal> FindRefusal(const start_request& order,
                                     steady_time deadline) const;

  const agent_settings settings_;
  const clock& time_;
  host& host_;
  pause_detector pause_;
  run_queue queue_;
  room_share shares_;
  bool is_contended_ = false;  ///< As last logged.
  log_limit share_log_limit_;
  run_pace pace_;
  crash_log crashes_;
  std::map<incarnation, entry_session> sessions_;
  running_calls running_;
  std::optional<announcement> minion_;
  steady_time announced_at_;
  minion_departure departure_;
  bool stopping_ = false;
  config_copy config_;
  known_out_list out_list_;
  /// Services that the routes of the configuration name.
  std::set<std::string> routed_services_;
  std::chrono::milliseconds heartbeat_{1000};
  agent_counters counters_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_AGENT_CORE_H_
