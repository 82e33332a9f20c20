#ifndef JAYRILL_AGENT_LEASED_MINION_H_
#define JAYRILL_AGENT_LEASED_MINION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/agent/end_proof.h"
#include "jayrill/agent/minion_port.h"
#include "jayrill/agent/report_requests.h"
#include "jayrill/agent/run_control.h"
#include "jayrill/base/clock.h"
#include "jayrill/base/log_limit.h"
#include "jayrill/session/pause_detector.h"
#include "jayrill/store/scheduler.h"

namespace jayrill {

/// Time limits of a leased_minion.
struct lease_settings {
  /// Duration of the lease from the last order or renewal of the agent. Runs
  /// end at most this long after their agent has stopped.
  std::chrono::milliseconds lease{1000};
  /// Longest time that the minion may hold a report back until a run ends. Each
  /// request renews the lease; this is short enough that three answers in a
  /// row may be lost before the lease expires.
  std::chrono::milliseconds report_wait{200};
  /// A run that makes no progress for this long is stopped.
  std::chrono::milliseconds stall_limit{500};
  /// Longest time from an acknowledged stop to the end of the run. Until then
  /// the minion may list the run neither as running nor as ended.
  std::chrono::milliseconds stop_time{100};
  /// The lease ends at most this long after the entry of each run was last
  /// known to wait for it; see run_guard. Zero: only \p lease bounds it.
  std::chrono::milliseconds unawaited_limit{};

  auto operator<=>(const lease_settings&) const = default;
};

/// Runs tasks on a minion that takes orders to start and stop runs and ends all
/// runs when their lease expires.
///
/// A call may be carried out late and its answer may be lost. A start or
/// renewal without an answer is fenced: all later calls carry a higher token,
/// so that it has no effect after one of them. A call ends only when the minion
/// has reported the end of its run or cannot run it any more: a stop was
/// acknowledged and a later report does not list the run, the lease of a run
/// that was confirmed has expired, or the minion has restarted.
///
/// Not thread-safe. All I/O goes through the run_control and the scheduler,
/// whose callbacks must come on the thread that calls this class.
class leased_minion final : public minion_port {
 public:
  leased_minion(lease_settings settings,
                const clock& time,
                scheduler& timers,
                run_control& control,
                listener outcome_listener);
  ~leased_minion() override;

  void Run(const task_call& call) override;
  void Stop(std::uint64_t call) override;
  /// Asks again while there is no answer, for less than the time between two
  /// announcements of a minion.
  void Identify(const announcement& minion,
                const std::function<void(identity_answer)>& done) override;
  void OnAnnounced(const announcement& minion) override;
  void SetMinionLeft(bool left) override {
    minion_left_ = left;
    is_end_announced_ = is_end_announced_ || left;
  }
  lost_call_counters lost_calls() const override { return lost_calls_; }
  std::uint32_t running() const override {
    return static_cast<std::uint32_t>(runs_.size() + waiting_calls_.size());
  }

 private:
  enum class run_state {
    kOrdered,   ///< The order to start it has no answer yet.
    kRunning,   ///< The minion has confirmed that it runs.
    kStopping,  ///< Is being stopped; fenced if the order has not arrived yet.
  };

  struct leased_run {
    task_call call;
    run_name name;
    run_state state = run_state::kOrdered;
    bool has_run = false;  ///< The minion has confirmed that it runs or ran.
    std::uint32_t order_tries = 0;
    steady_time ordered_at;
    std::uint64_t order_token = 0;  ///< Fencing token of the last order.
    std::uint32_t percent = 0;
    steady_time progress_at;
    /// Serial of the last report requested before the stop was acknowledged;
    /// empty until then. A stopped run that a later report does not list has
    /// ended, once lease_settings::stop_time has passed as well.
    std::optional<std::uint64_t> last_report_before_stop;
    steady_time stop_acknowledged_at;
    /// Serial of the last report requested before the start was confirmed. A
    /// running run that a later report does not list is stopped.
    std::uint64_t last_report_before_start = 0;
    std::uint32_t stops_in_flight = 0;
    std::string reason;  ///< Why it is stopped; for the result.
    /// Why the agent stops it; kNone when the minion or the run is at fault.
    not_run_reason cause = not_run_reason::kNone;
    crash_role crash = crash_role::kNone;
  };
  using run_map = std::map<std::uint64_t, leased_run>;

  /// What an order to start a run has carried.
  struct sent_start {
    std::uint32_t attempt = 0;
    std::uint64_t token = 0;
  };
  /// What a stop has carried, and the life that it was sent to.
  struct sent_stop {
    std::uint64_t life = 0;
    std::uint64_t token = 0;
  };
  /// What a renewal has carried, and when it was sent.
  struct sent_renewal {
    std::uint64_t serial = 0;
    std::uint64_t token = 0;
    std::uint64_t acknowledged = 0;
    steady_time at;
  };

  /// Asks \p minion until it answers or \p give_up_at has passed.
  void IdentifyUntil(const announcement& minion,
                     steady_time give_up_at,
                     const std::function<void(identity_answer)>& done);
  /// Orders a run of \p call. If an older run of the same task is still there,
  /// stops that one first and lets the call wait.
  void BeginRun(const task_call& call);
  void SendStart(std::uint64_t id);
  /// Orders a run whose last order was refused once more, or lets its call wait
  /// for a report while the minion is not synced.
  void SendStartAgain(std::uint64_t id);
  void OnStartAnswer(std::uint64_t id,
                     const sent_start& sent,
                     order_answer answer);
  void StopRun(std::uint64_t id,
               const std::string& reason,
               not_run_reason cause = not_run_reason::kNone);
  void SendStop(std::uint64_t id);
  void OnStopAnswer(std::uint64_t id,
                    const sent_stop& sent,
                    order_answer answer);
  /// Ends the calls of all runs once their lease has passed. They are on a
  /// minion at another address, which may live on beside its successor.
  void SetAsideRuns();
  /// Stops a run that no call of this agent waits for: one of an earlier agent,
  /// or one that an earlier life's order has started.
  void StopUnknownRun(const run_name& run);
  /// Requests a report and renews the lease with it. The minion may hold the
  /// answer back for up to \p wait until a run ends.
  void RequestReport(std::chrono::milliseconds wait);
  /// Keeps a request in flight while there are runs, waiting calls or
  /// unacknowledged ends; several after a loss, see report_requests.
  void RequestReportIfNeeded();
  void OnReport(const sent_renewal& sent, const result<run_report>& answer);
  void OnReportFailed(std::uint64_t sent_token, const error& failure);
  /// Detects a restart of the minion and ends the runs that it has lost.
  /// \returns false when \p report was requested too early to tell what the
  /// restarted minion runs.
  bool AdoptLife(std::uint64_t serial, const run_report& report);
  void ProcessEndedRuns(const run_report& report);
  void ProcessRunningRuns(const sent_renewal& sent, const run_report& report);
  void CheckProgress(std::uint64_t id, std::uint32_t percent);
  /// Lets the stop of \p run be sent again when the report \p serial lists the
  /// run although it should have ended: the stop was acknowledged by an earlier
  /// life of the minion.
  void ReopenStop(leased_run& run, std::uint64_t serial);
  /// \returns true when the report \p serial was requested after the stop of
  /// \p run was acknowledged, and the run has had the time to end.
  bool IsEndDue(const leased_run& run, std::uint64_t serial) const;
  /// \returns true when the order of \p run has no answer, and a report that
  /// was requested at \p requested should have listed the run.
  static bool IsOrderOverdue(const leased_run& run, steady_time requested);
  /// Handles a run of this agent that the report to \p sent does not list.
  void OnRunNotListed(const sent_renewal& sent, std::uint64_t id);
  /// Ends a call. \p answer is that of the minion to the order to start it,
  /// where the proof rests on one.
  void Finish(std::uint64_t id,
              task_result outcome,
              end_proof proof,
              std::optional<order_answer> answer = std::nullopt);
  /// Logs on what the end of a call without success rests.
  void LogEnd(const leased_run& run,
              const task_result& outcome,
              end_proof proof,
              std::optional<order_answer> answer);
  void Refuse(const task_call& call,
              not_run_reason reason,
              const std::string& message);
  /// Ends the calls whose run was confirmed, after the lease has expired. An
  /// order without an answer may still be on its way, and a minion that comes
  /// back after a crash has neither its fence nor a clock that refuses it.
  void InterruptConfirmedRuns(const std::string& reason);
  void BeginWaitingCalls();
  void Tick();
  /// Stops all runs after a pause of the process.
  void CheckPause();
  /// Raises the fencing token after the minion has refused it, by a step that
  /// doubles each time.
  void RaiseToken();
  /// The minion has refused \p sent_token; raises the token unless that has
  /// happened since the call was sent.
  void OnTokenRefused(std::uint64_t sent_token);
  /// Gives all further calls a token above \p sent_token. A call that was sent
  /// with it and had no answer, or was sent to an earlier life, has no effect
  /// after one of them.
  void FenceCalls(std::uint64_t sent_token);
  /// A call to the minion had no answer: lets requests for reports overlap.
  void OnCallLost();
  /// The order of \p run had no answer: fences it and stops the run.
  void OnOrderLost(std::uint64_t id, leased_run& run);
  /// \returns true when the last reading of the minion's clock is recent enough
  /// to compute the end of a lease from it.
  bool IsClockCurrent() const;
  run_map::iterator FindRunOfTask(const run_name& task);
  /// \returns true when \p run must end with its lease if nothing else ends it.
  bool BoundsLease(const leased_run& run) const;
  /// \returns the longest lease that may be given now: lease_settings::lease,
  /// or less when one of the runs is to end or its entry is silent. A lease
  /// holds for all runs of the minion and never shortens. Zero: none.
  std::chrono::milliseconds LeaseLimit() const;
  /// Extends lease_end_ for an order that is sent now and gives \p lease.
  /// \returns the end of the lease on the clock of the minion.
  minion_time ExtendLease(std::chrono::milliseconds lease);
  task_result MakeResult(const leased_run& run, task_outcome outcome) const;
  /// Sets leased_run::crash of those of the \p ended runs that the minion may
  /// have begun before it crashed.
  void AssignCrashRoles(const std::vector<std::uint64_t>& ended);

  const lease_settings settings_;
  const clock& time_;
  scheduler& timers_;
  run_control& control_;
  listener listener_;
  bool minion_left_ = false;
  std::optional<announcement> minion_;
  std::uint64_t token_ = 0;
  std::uint32_t token_raises_ = 0;
  std::uint64_t life_ = 0;  ///< Of the minion, as last seen; 0: none yet.
  /// Serial of the last report requested before a restart of the minion was
  /// noticed; only later reports show what the restarted minion runs. Its clock
  /// and its record of attempts start from zero, so only the fencing token
  /// keeps out orders that were sent before the restart.
  std::optional<std::uint64_t> last_report_before_life_;
  /// The minion runs nothing of an earlier agent, and its clock is known.
  bool synced_ = false;
  bool is_lease_held_back_ = false;  ///< At the last renewal, for the log.
  /// The last report has listed a run that this agent has not ordered.
  bool has_unknown_run_ = false;
  /// When the runs of an earlier agent have ended; the latest time while the
  /// minion lists one.
  steady_time unknown_runs_end_at_;
  /// When the report with clock_read_ has arrived; empty: clock not known.
  std::optional<steady_time> clock_read_at_;
  minion_time clock_read_{};
  /// No order sent so far has an effect after this time.
  steady_time lease_end_;
  run_map runs_;
  /// Calls that wait for the first report or for the end of an older run.
  std::vector<task_call> waiting_calls_;
  /// Highest sequence number of an ended run that was processed.
  std::uint64_t acknowledged_ = 0;
  /// Highest sequence number whose acknowledgement has reached the minion.
  std::uint64_t acknowledgement_sent_ = 0;
  std::uint64_t last_serial_ = 0;  ///< Of the last request for a report.
  /// When the last report that has arrived was requested.
  std::optional<steady_time> last_report_requested_at_;
  report_requests requests_;
  lost_call_counters lost_calls_;
  std::uint32_t failed_reports_ = 0;  ///< Failed requests in a row.
  /// When requests began to fail; empty after a report of the present life.
  std::optional<steady_time> first_failure_at_;
  /// The latest failed request did not reach the minion.
  bool is_unreachable_ = false;
  /// The minion has said that it leaves, so that its end is no crash.
  bool is_end_announced_ = false;
  bool retry_scheduled_ = false;
  steady_time last_event_at_;  ///< For CheckPause.
  log_limit end_log_limit_;
  log_limit unknown_run_log_limit_;
  callback_guard guard_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_LEASED_MINION_H_
