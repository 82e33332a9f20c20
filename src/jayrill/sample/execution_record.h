#ifndef JAYRILL_SAMPLE_EXECUTION_RECORD_H_
#define JAYRILL_SAMPLE_EXECUTION_RECORD_H_

#include <QByteArray>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Counts how often each task was executed, so that tests can check that none
/// was executed twice.
class execution_record {
 public:
  /// The executions of one task.
  struct entry {
    std::uint64_t count = 0;
    wall_time first;
    std::string tag;  ///< Of the payload; names the request in tests.

    auto operator<=>(const entry&) const = default;
  };

  /// Counts an execution of the task and keeps it.
  void Add(const std::string& job,
           const std::string& task,
           const std::string& tag,
           wall_time now);

  /// Counts an execution only in the total, so that long load runs do not
  /// fill the memory.
  void AddUnnamed() { ++total_; }

  std::uint64_t total() const { return total_; }

  /// \returns how often the task was executed.
  std::uint64_t CountOf(const std::string& job, const std::string& task) const;

  /// \returns `{total, tasks: [{job, task, tag, count,
  /// first_start_unix_ms}]}`.
  QByteArray ToJson() const;

 private:
  std::uint64_t total_ = 0;
  std::map<std::pair<std::string, std::string>, entry> tasks_;
};

}  // namespace jayrill

#endif  // JAYRILL_SAMPLE_EXECUTION_RECORD_H_
