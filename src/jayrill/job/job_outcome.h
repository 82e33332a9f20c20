#ifndef JAYRILL_JOB_JOB_OUTCOME_H_
#define JAYRILL_JOB_JOB_OUTCOME_H_

#include <chrono>
#include <compare>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace jayrill {

/// What a failed job may have done; decides whether it is safe to resubmit.
enum class job_effect {
  kNotRun,        ///< No task started and none will: safe to resubmit.
  kMayHaveRun,    ///< Some task may have started.
  kRanAndFailed,  ///< Some task ran, and the job failed.
  kRan,           ///< The job completed earlier; its answer is not kept.
};

/// The marked failure of a job.
struct job_failure {
  job_effect effect = job_effect::kMayHaveRun;
  std::string code;     ///< Stable, in snake case, for programs.
  std::string message;  ///< What went wrong, for people.
  std::string remedy;   ///< What the caller can do.
  /// When a job that has not run may come again.
  std::chrono::milliseconds retry_after{1000};

  auto operator<=>(const job_failure&) const = default;
};

/// The whole answer of a job: the JSON of each task, in task order.
struct job_answer {
  std::vector<std::string> results;

  auto operator<=>(const job_answer&) const = default;
};

/// Either the whole answer or a marked failure; never a partial answer.
using job_outcome = tl::expected<job_answer, job_failure>;

/// \returns the name of \p effect in snake case, as used in JSON.
std::string_view ToString(job_effect effect);

/// \returns a failed outcome.
job_outcome MakeJobFailure(job_effect effect,
                           std::string code,
                           std::string message,
                           std::string remedy);

}  // namespace jayrill

#endif  // JAYRILL_JOB_JOB_OUTCOME_H_
