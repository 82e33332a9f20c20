#ifndef JAYRILL_JOB_TASK_CRASH_H_
#define JAYRILL_JOB_TASK_CRASH_H_

#include <compare>
#include <cstdint>
#include <string>

namespace jayrill {

/// Part that a run may have had in the crash of its minion.
enum class crash_role : std::uint8_t {
  kNone,         ///< The minion has not crashed under the run.
  kBeside,       ///< Another run is more likely to have caused the crash.
  kLikelyCause,  ///< It was the only run, or the last one to begin.
};

/// A minion has crashed while it ran a task.
struct task_crash {
  std::string job_name;
  std::uint32_t task_index = 0;
  /// Tells the crashes that one agent reports apart. Grows, also over restarts
  /// of the agent.
  std::uint64_t number = 0;
  crash_role role = crash_role::kBeside;

  auto operator<=>(const task_crash&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_JOB_TASK_CRASH_H_
