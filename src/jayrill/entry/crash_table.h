#ifndef JAYRILL_ENTRY_CRASH_TABLE_H_
#define JAYRILL_ENTRY_CRASH_TABLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"
#include "jayrill/entry/agent_hello.h"
#include "jayrill/job/task_crash.h"

namespace jayrill {

/// Counts the minions that have crashed under each task, over all submissions
/// of its job and all entries, as the agents report them.
///
/// Not thread-safe.
class crash_table {
 public:
  /// Name of a job and index of a task.
  using task_key = std::pair<std::string, std::uint32_t>;

  /// A task is given up after this many crashes that it has likely caused.
  static constexpr std::size_t kMaxLikelyCrashes = 2;

  /// A task is given up after this many crashes, whatever it ran beside. A task
  /// that runs beside a crashing one has one more submission than that one.
  static constexpr std::size_t kMaxCrashes = 3;

  /// A task is forgotten when no crash was added for this long. Longer than
  /// callers repeat their jobs.
  static constexpr std::chrono::seconds kRetention{60};

  /// Bounds the memory; the tasks with the oldest crashes are forgotten first.
  static constexpr std::size_t kMaxTasks = 4096;

  /// Adds those of \p crashes that \p agent has not reported before.
  /// \returns the tasks that have to be given up since.
  std::vector<task_key> Add(agent_handle agent,
                            const std::vector<task_crash>& crashes,
                            steady_time now);

  /// \returns true when task \p index of \p job_name has to be given up.
  bool IsGivenUp(const std::string& job_name, std::uint32_t index) const;

  std::size_t size() const { return tasks_.size(); }

 private:
  struct crash_record {
    std::set<std::pair<std::uint64_t, std::uint64_t>> crashes;
    std::size_t likely = 0;
    steady_time last_crash;
    std::uint64_t age_rank = 0;  ///< Position in ages_.

    bool is_given_up() const {
      return likely >= kMaxLikelyCrashes || crashes.size() >= kMaxCrashes;
    }
  };

  void Forget(steady_time now);

  std::map<task_key, crash_record> tasks_;
  std::map<std::uint64_t, task_key> ages_;  ///< Oldest last crash first.
  std::uint64_t last_age_ = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_CRASH_TABLE_H_
