#ifndef JAYRILL_SAMPLE_EXECUTION_RECORD_H_
#define JAYRILL_SAMPLE_EXECUTION_RECORD_H_

#include <QByteArray>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Counts the executions of each task, so that tests can check that no task ran
/// twice. Grows with the number of tasks. Not thread-safe.
class execution_record {
 public:
  /// The executions of one task.
  struct task_executions {
    std::uint64_t count = 0;
    wall_time first;  ///< Start of the first execution.
    /// The `tag` of the payload, by which tests identify the request.
    std::string tag;

    auto operator<=>(const task_executions&) const = default;
  };

  /// Counts an execution of the task that starts at \p now.
  void Add(const std::string& job,
           const std::string& task,
           const std::string& tag,
           wall_time now);

  /// Counts an execution in the total only, so that long load runs use constant
  /// memory.
  void AddToTotal() { ++total_; }

  std::uint64_t total() const { return total_; }

  /// \returns how often the task was executed.
  std::uint64_t CountOf(const std::string& job, const std::string& task) const;

  /// \returns `{total, tasks: [{job, task, tag, count,
  /// first_start_unix_ms}]}`.
  QByteArray ToJson() const;

 private:
  std::uint64_t total_ = 0;
  std::map<std::pair<std::string, std::string>, task_executions> tasks_;
};

}  // namespace jayrill

#endif  // JAYRILL_SAMPLE_EXECUTION_RECORD_H_
