#ifndef JAYRILL_AGENT_REPORT_SCHEDULE_H_
#define JAYRILL_AGENT_REPORT_SCHEDULE_H_

#include <chrono>
#include <optional>

#include "jayrill/base/clock.h"
#include "jayrill/job/task_result.h"

namespace jayrill {

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

 private:
  std::chrono::milliseconds status_interval_;
  std::chrono::milliseconds heartbeat_{1000};
  steady_time heard_;
  steady_time reported_;
  minion_status sent_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_REPORT_SCHEDULE_H_
