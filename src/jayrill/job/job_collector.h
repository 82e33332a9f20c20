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

/// Tracks the tasks of one job and collects their results into its outcome.
///
/// The outcome is decided once and does not change afterwards. The job
/// completes when every task has succeeded. It fails as soon as one task has
/// failed or may have run without a known result, or when Fail is called.
/// Results that arrive after the decision, and second results of a task, are
/// dropped.
///
/// Not thread-safe.
class job_collector {
 public:
  /// \p task_count must not be 0.
  explicit job_collector(std::size_t task_count);

  /// Records that a start of \p task_index was sent. No other start of the task
  /// may be outstanding.
  void OnStartSent(std::uint32_t task_index);

  /// Adds the result of \p task_index. After a result kNotRun the task may be
  /// started again; it does not decide the job.
  /// \returns false when the result was dropped as late or duplicate.
  bool OnResult(std::uint32_t task_index, const task_result& result);

  /// Records that a run of \p task_index has ended without a result that
  /// counts. The task may be started again, but the effect of the job can no
  /// longer be kNotRun.
  void OnRunEnded(std::uint32_t task_index);

  /// Decides the job as failed, for example at its deadline, with the effect
  /// that EffectSoFar returns.
  /// \returns false when the job was decided before.
  bool Fail(std::string code, std::string message, std::string remedy);

  /// Decides the job as failed with the effect job_effect::kRanAndFailed: its
  /// failure is final although starts may be outstanding.
  /// \returns false when the job was decided before.
  bool GiveUp(std::string code, std::string message, std::string remedy);

  /// \returns the outcome, or nothing until the job is decided.
  const std::optional<job_outcome>& outcome() const { return outcome_; }

  /// \returns the effect that the job has if it fails now. kNotRun means that
  /// no start is outstanding and no task has run.
  job_effect EffectSoFar() const;

  /// \returns true when a task has run for certain or its result is lost, so
  /// that the effect can't become kNotRun any more.
  bool HasRun() const;

  /// \returns the indices of the tasks with an outstanding start.
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
  bool has_ended_run_ = false;  ///< OnRunEnded was called for a task.
  std::optional<job_outcome> outcome_;
};

}  // namespace jayrill

#endif  // JAYRILL_JOB_JOB_COLLECTOR_H_
