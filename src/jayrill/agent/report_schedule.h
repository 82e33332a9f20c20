#ifndef JAYRILL_AGENT_REPORT_SCHEDULE_H_
#define JAYRILL_AGENT_REPORT_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "jayrill/base/clock.h"
#include "jayrill/job/task_result.h"

namespace jayrill {

/// Largest number of entries that each get status reports at the full rate.
inline constexpr std::size_t kFullRateEntries = 3;

/// \returns the shortest time between two status reports to one entry. Every
/// change of the load is reported to each entry. Above kFullRateEntries the
/// interval grows with the number of entries, so that the agent sends at most
/// one report per \p shortest to all of them together.
inline std::chrono::milliseconds StatusInterval(
    std::chrono::milliseconds shortest,
    std::size_t entries) {
  return entries <= kFullRateEntries
             ? shortest
             : shortest * static_cast<std::int64_t>(entries);
}

/// Decides when a report to one entry is due and when its connection counts
/// as dead. Keeps only times and the last status; the caller sends the reports.
class report_schedule {
 public:
  explicit report_schedule(std::chrono::milliseconds status_interval)
      : status_interval_(status_interval) {}

  /// A connection was opened with the status \p sent in its hello.
  void Open(steady_time now,
            std::chrono::milliseconds heartbeat,
            const minion_status& sent);

  /// Sets the heartbeat interval that the entry asks for, within 100 ms to
  /// 60 s; 0 changes nothing.
  void SetHeartbeat(std::chrono::milliseconds heartbeat);

  /// Sets the agent's own lower bound of the time between two reports without
  /// results.
  void SetStatusInterval(std::chrono::milliseconds interval) {
    status_interval_ = interval;
  }

  /// Sets the lower bound that the entry asks for, at most 1 s. The longer of
  /// the two bounds applies.
  void SetWantedStatusInterval(std::chrono::milliseconds interval);

  /// Something arrived from the entry.
  void OnMessageReceived(steady_time now) { last_message_at_ = now; }

  /// A report with the status \p sent was sent.
  void OnReport(steady_time now, const minion_status& sent);

  /// A report with the status \p sent was sent ahead of time, for the sake of
  /// its answer. Later reports are due as if it had not been.
  void OnQuestion(const minion_status& sent);

  /// \returns when a report without results is due, which may be in the past,
  /// or nothing when \p current equals the status that was sent last apart from
  /// time_until_free. It is due when the lower bound has passed since the last
  /// report.
  std::optional<steady_time> StatusDue(const minion_status& current) const;

  /// \returns true when a report is due as a heartbeat.
  bool IsHeartbeatDue(steady_time now) const;

  /// \returns true when nothing arrived from the entry for more than three
  /// heartbeat intervals.
  bool IsSilent(steady_time now) const;

  std::chrono::milliseconds heartbeat() const { return heartbeat_; }

  /// \returns when the last report was sent.
  steady_time reported() const { return last_report_at_; }

 private:
  std::chrono::milliseconds status_interval_;
  std::chrono::milliseconds wanted_status_interval_{};
  std::chrono::milliseconds heartbeat_{1000};
  steady_time last_message_at_;
  steady_time last_report_at_;
  minion_status last_sent_status_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_REPORT_SCHEDULE_H_
