#ifndef JAYRILL_AGENT_CRASH_LOG_H_
#define JAYRILL_AGENT_CRASH_LOG_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/job/task_crash.h"

namespace jayrill {

/// The tasks under which the minion of an agent has crashed lately. Every
/// status report repeats them, so an entry that has just started learns them
/// too.
///
/// Not thread-safe.
class crash_log {
 public:
  /// Time for which a crash is reported. Covers several submissions of a job.
  static constexpr std::chrono::seconds kRetention{10};

  /// Bounds the size of the status reports.
  static constexpr std::size_t kMaxCrashes = 32;

  explicit crash_log(const clock& time) : time_(time) {}

  /// Adds a crash under task \p task_index of \p job_name. Jobs without a name
  /// are left out, because a later submission of them is not recognized.
  void Add(const std::string& job_name,
           std::uint32_t task_index,
           crash_role role);

  /// \returns the crashes of the last kRetention, the newest last.
  std::vector<task_crash> Recent() const;

 private:
  const clock& time_;
  std::uint64_t last_number_ = 0;
  std::deque<std::pair<steady_time, task_crash>> crashes_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_CRASH_LOG_H_
