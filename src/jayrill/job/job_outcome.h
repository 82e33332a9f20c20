#ifndef JAYRILL_JOB_JOB_OUTCOME_H_
#define JAYRILL_JOB_JOB_OUTCOME_H_

#include <chrono>
#include <compare>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace jayrill {

/// Whether tasks of a job have run. Tells the caller whether it is safe to
/// submit the job again.
enum class job_effect {
  kNotRun,        ///< No task has run and none will: safe to submit again.
  kMayHaveRun,    ///< A task may have run.
  kRanAndFailed,  ///< A task has run, and the job has failed.
  kRan,           ///< The job completed before; its results are not kept.
};

/// Code of the failure of a job with a task that crashes the minions that start
/// it. Submitting the job again would crash more of them.
inline constexpr char kCrashingTaskCode[] = "task_crashes_minions";

/// The failure of a job, with its effect.
struct job_failure {
  job_effect effect = job_effect::kMayHaveRun;
  std::string code;     ///< Machine-readable, in snake case; never changes.
  std::string message;  ///< What went wrong, as a sentence.
  std::string remedy;   ///< What the caller can do about it.
  /// Time after which a job that has not run may be submitted again.
  std::chrono::milliseconds retry_after{1000};

  auto operator<=>(const job_failure&) const = default;
};

/// The results of a completed job.
struct job_answer {
  /// JSON of each task's result, in task order; an empty text stands for null.
  std::vector<std::string> results;

  auto operator<=>(const job_answer&) const = default;
};

/// Either the results of all tasks or a failure. A job never returns a part of
/// its results.
using job_outcome = tl::expected<job_answer, job_failure>;

/// \returns the name of \p effect in snake case, as used in JSON.
std::string_view ToString(job_effect effect);

job_outcome MakeJobFailure(job_effect effect,
                           std::string code,
                           std::string message,
                           std::string remedy);

}  // namespace jayrill

#endif  // JAYRILL_JOB_JOB_OUTCOME_H_
