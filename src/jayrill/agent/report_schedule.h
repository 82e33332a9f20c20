#ifndef JAYRILL_AGENT_REPORT_SCHEDULE_H_
#define JAYRILL_AGENT_REPORT_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "jayrill/base/clock.h"
#include "jayrill/job/task_result.h"

namespace jayrill {

/// Up to this number of entries each gets status reports at the full rate.
inline constexpr std::size_t kFullRateEntries = 3;

/// \returns the shortest time between two status reports to one entry. Each
/// change of the load goes to every entry. With more entries the interval grows
/// with their number, so that the reports of an agent stay at one per
/// \p shortest in all.
inline std::chrono::milliseconds StatusInterval(
    std::chrono::milliseconds shortest,
    std::size_t entries) {
  return entries <= kFullRateEntries
             ? shortest
             : shortest * static_cast<std::int64_t>(entries);
}

/// Decides when a report to one entry is due and when its connection counts
/// as dead.
class report_schedule {
 public:
  explicit report_schedule(std::chrono::milliseconds status_interval)
      : status_interval_(status_interval) {}

  /// A connection was opened with the status \p sent in its hello.
  void Open(steady_time now,
            std::chrono::milliseconds heartbeat,
            const minion_status& sent);

  /// The entry asks for another \p heartbeat interval; 0 changes nothing.
  void SetHeartbeat(std::chrono::milliseconds heartbeat);

  /// Sets the shortest time between two reports without results, as far as the
  /// agent decides it.
  void SetStatusInterval(std::chrono::milliseconds interval) {
    status_interval_ = interval;
  }

  /// The entry asks for at least \p interval between reports without results.
  void SetWantedStatusInterval(std::chrono::milliseconds interval);

  /// Something arrived from the entry.
  void OnHeard(steady_time now) { heard_ = now; }

  /// A report with the status \p sent was sent.
  void OnReport(steady_time now, const minion_status& sent);

  /// \returns when a report without results is due because of \p current: at
  /// once or after the throttle interval when the entry has another status,
  /// else nothing.
  std::optional<steady_time> StatusDue(const minion_status& current) const;

  /// \returns true when a report is due to show that the agent lives.
  bool IsHeartbeatDue(steady_time now) const;

  /// \returns true when the entry was silent for three heartbeat intervals.
  bool IsSilent(steady_time now) const;

  std::chrono::milliseconds heartbeat() const { return heartbeat_; }

  /// \returns when the last report was sent.
  steady_time reported() const { return reported_; }

 private:
  std::chrono::milliseconds status_interval_;
  std::chrono::milliseconds wanted_status_interval_{};
  std::chrono::milliseconds heartbeat_{1000};
  steady_time heard_;
  steady_time reported_;
  minion_status sent_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_REPORT_SCHEDULE_H_
