#ifndef JAYRILL_AGENT_LEASED_MINION_H_
#define JAYRILL_AGENT_LEASED_MINION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/agent/minion_port.h"
#include "jayrill/agent/run_control.h"
#include "jayrill/base/clock.h"
#include "jayrill/session/pause_detector.h"
#include "jayrill/store/scheduler.h"

namespace jayrill {

/// Times of a leased_minion.
struct lease_settings {
  /// Lease of a run from the last order of the agent. A run outlives an agent
  /// that has stopped by at most this.
  std::chrono::milliseconds lease{1000};
  /// Longest wait of a report for the end of a run; it renews the lease often
  /// enough that three answers may be lost.
  std::chrono::milliseconds report_wait{200};
  /// A run whose progress stands still for this long is stopped.
  std::chrono::milliseconds stall_limit{500};
  /// Time after an acknowledged stop within which the run ends. The minion may
  /// list it neither as running nor as ended meanwhile.
  std::chrono::milliseconds stop_time{100};

  auto operator<=>(const lease_settings&) const = default;
};

/// Runs tasks on a minion that takes orders and keeps runs under a lease.
///
/// Orders may be carried out late and answers may be lost, so a call ends only
/// when the minion has reported the end of its run, or cannot run it any more:
/// a stop was acknowledged and a later report does not list the run, the lease
/// has passed, or another life of the minion has begun.
///
/// Decides on plain values; \p control and \p timers are ports.
class leased_minion final : public minion_port {
 public:
  leased_minion(lease_settings settings,
                const clock& time,
                scheduler& timers,
                run_control& control,
                listener owner);
  ~leased_minion() override;

  void Run(const task_call& call) override;
  void Stop(std::uint64_t call) override;
  void OnAnnounced(const announcement& minion) override;
  void SetLeft(bool left) override { left_ = left; }
  std::uint32_t running() const override {
    return static_cast<std::uint32_t>(runs_.size() + waiting_.size());
  }

 private:
  enum class run_state {
    kOrdered,   ///< The order has no answer yet.
    kRunning,   ///< The minion has confirmed it.
    kStopping,  ///< To be stopped, or fenced if it has not arrived.
  };

  struct leased_run {
    task_call call;
    run_name name;
    run_state state = run_state::kOrdered;
    bool has_run = false;  ///< The minion has confirmed that it ran.
    std::uint32_t order_tries = 0;
    steady_time ordered_at;
    std::uint32_t percent = 0;
    steady_time progress_at;
    /// Reports that were requested after this one prove that a stopped run
    /// that they do not list is gone; empty: the stop is not acknowledged.
    std::optional<std::uint64_t> stopped_before;
    steady_time stop_acknowledged_at;
    std::uint64_t running_before = 0;  ///< Same for a run that has started.
    bool stop_in_flight = false;
    std::string reason;  ///< Why it is stopped.
    /// Why it is stopped, if that says nothing about the minion.
    not_run_reason cause = not_run_reason::kNone;
  };
  using run_map = std::map<std::uint64_t, leased_run>;

  void Begin(const task_call& call);
  void SendStart(std::uint64_t id);
  void OnStartAnswer(std::uint64_t id,
                     std::uint32_t attempt,
                     start_answer answer);
  void StopRun(std::uint64_t id,
               const std::string& reason,
               not_run_reason cause = not_run_reason::kNone);
  void SendStop(std::uint64_t id);
  void OnStopAnswer(std::uint64_t id, start_answer answer);
  void StopForeign(const run_name& run);
  void RequestReport(std::chrono::milliseconds wait);
  void KeepReporting();
  void OnReport(std::uint64_t serial, const result<run_report>& answer);
  void OnReportFailed(const error& failure);
  bool AdoptLife(std::uint64_t serial, const run_report& report);
  void HandleEnds(const run_report& report);
  void HandleRunning(std::uint64_t serial, const run_report& report);
  void CheckProgress(std::uint64_t id, std::uint32_t percent);
  void OnMissing(std::uint64_t serial, std::uint64_t id);
  void Finish(std::uint64_t id, task_result outcome);
  void Refuse(const task_call& call,
              not_run_reason reason,
              const std::string& message);
  void EndAll(const std::string& reason);
  void BeginWaiting();
  void Tick();
  void CheckPause();
  void RaiseToken();
  run_map::iterator FindTask(const run_name& task);
  minion_time LeaseUntil();
  task_result Outcome(const leased_run& run, task_outcome outcome) const;

  const lease_settings settings_;
  const clock& time_;
  scheduler& timers_;
  run_control& control_;
  listener listener_;
  bool left_ = false;
  std::optional<announcement> minion_;
  std::uint64_t token_ = 0;
  std::uint32_t raises_ = 0;
  std::uint64_t life_ = 0;
  /// Reports that were requested after this one show what a new life runs. Its
  /// clock and its memory of attempts start anew, so only the fencing token
  /// keeps orders out that were sent to the life before.
  std::optional<std::uint64_t> life_began_after_;
  /// No run of an earlier agent is left, and the clock of the minion is known.
  bool synced_ = false;
  std::optional<steady_time> clock_read_at_;
  minion_time clock_read_{};
  steady_time lease_end_;  ///< Every order so far has no effect after it.
  run_map runs_;
  std::vector<task_call> waiting_;  ///< For the first report or an older run.
  std::uint64_t acknowledged_ = 0;  ///< Highest end that was handled.
  std::uint64_t acknowledgement_sent_ = 0;
  std::uint64_t last_serial_ = 0;  ///< Of the requests for reports.
  std::uint32_t reports_in_flight_ = 0;
  std::uint32_t failed_reports_ = 0;  ///< In a row.
  bool retry_scheduled_ = false;
  steady_time last_event_;
  callback_guard guard_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_LEASED_MINION_H_
