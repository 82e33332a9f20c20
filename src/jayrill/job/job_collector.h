#ifndef JAYRILL_JOB_JOB_COLLECTOR_H_
#define JAYRILL_JOB_JOB_COLLECTOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/job/job_outcome.h"
#include "jayrill/job/task_result.h"

namespace jayrill {

/// Collects the results of one job's tasks into one outcome.
///
/// The outcome is decided once: whole when every task has succeeded, failed as
/// soon as one task has failed, may have run without an answer, or is given
/// up. Results that come after the decision, or twice for a task, change
/// nothing.
class job_collector {
 public:
  /// \p task_count must not be 0.
  explicit job_collector(std::size_t task_count);

  /// Notes that a start of \p task_index was sent.
  void OnStartSent(std::uint32_t task_index);

  /// Adds the result of \p task_index. A result kNotRun makes the task
  /// startable again; it does not decide the job.
  /// \returns false when the result was dropped as late or doubled.
  bool OnResult(std::uint32_t task_index, const task_result& result);

  /// A run of \p task_index has ended without a result that counts; the task
  /// becomes startable again, but something has run.
  void OnRunEnded(std::uint32_t task_index);

  /// Decides the job as failed, for example at its deadline. The effect is
  /// computed from the state of the tasks.
  /// \returns false when the job was already decided.
  bool Fail(std::string code, std::string message, std::string remedy);

  /// \returns the outcome, once it is decided.
  const std::optional<job_outcome>& outcome() const { return outcome_; }

  /// \returns what may have happened so far: kNotRun when no start is
  /// outstanding and none has run.
  job_effect EffectSoFar() const;

  /// \returns the indices of the tasks whose start is outstanding.
  std::vector<std::uint32_t> OutstandingTasks() const;

  std::size_t task_count() const { return states_.size(); }

 private:
  enum class task_state : std::uint8_t {
    kWaiting,
    kSent,
    kSucceeded,
    kFailed,
    kUnknown,
  };

  std::vector<task_state> states_;
  std::vector<std::string> results_;
  std::size_t succeeded_ = 0;
  bool has_run_ = false;  ///< Some run has ended without a result.
  std::optional<job_outcome> outcome_;
};

}  // namespace jayrill

#endif  // JAYRILL_JOB_JOB_COLLECTOR_H_
