#include "jayrill/job/job_outcome.h"

#include <utility>

namespace jayrill {

std::string_view ToString(job_effect effect) {
  switch (effect) {
    case job_effect::kNotRun:
      return "not_run";
    case job_effect::kMayHaveRun:
      return "may_have_run";
    case job_effect::kRanAndFailed:
      return "ran_and_failed";
    case job_effect::kRan:
      return "ran";
  }
  return "may_have_run";
}

job_outcome MakeJobFailure(job_effect effect,
                           std::string code,
                           std::string message,
                           std::string remedy) {
  return tl::unexpected<job_failure>(job_failure{
      effect, std::move(code), std::move(message), std::move(remedy)});
}

}  // namespace jayrill
