#include "jayrill/entry/job_refusals.h"

#include <algorithm>
#include <utility>

#include "jayrill/job/job_codec.h"

namespace jayrill {

job_outcome NotRun(std::string code, std::string message, std::string remedy) {
  return MakeJobFailure(job_effect::kNotRun, std::move(code),
                        std::move(message), std::move(remedy));
}

job_outcome NotRun(std::string code, const error& failure) {
  return NotRun(std::move(code), failure.message, failure.remedy);
}

std::optional<job_outcome> ApplyProfile(const profile& limits, job_spec& spec) {
  const std::chrono::milliseconds longest = limits.limits.max_deadline;
  if (spec.deadline.count() == 0) {
    spec.deadline = longest.count() == 0 ? kDefaultDeadline
                                         : std::min(kDefaultDeadline, longest);
  }
  const std::uint32_t max_tasks = limits.limits.max_tasks;
  if (max_tasks != 0 && spec.tasks.size() > max_tasks) {
    return NotRun("too_many_tasks",
                  "the job has " + std::to_string(spec.tasks.size()) +
                      " tasks; the profile of its service allows " +
                      std::to_string(max_tasks),
                  "split the job or ask the operators for another profile");
  }
  if (longest.count() != 0 && spec.deadline > longest) {
    return NotRun("deadline_too_long",
                  "the deadline is " + std::to_string(spec.deadline.count()) +
                      " ms; the profile of its service allows " +
                      std::to_string(longest.count()) + " ms",
                  "set a shorter deadline");
  }
  return std::nullopt;
}

job_outcome KeyReused() {
  return NotRun("key_reused",
                "the request key belongs to a job with other content",
                "give each job a key of its own");
}

job_outcome OutcomeOfClaim(const result<claim_answer>& claim) {
  if (!claim) {
    const error& failure = claim.error();
    if (failure.kind == error_kind::kUnknownOutcome) {
      // The claim may be held by this entry, but the job was not dispatched
      // and will not be, so it has not run.
      return NotRun("claim_unknown", failure);
    }
    return NotRun("store_unavailable", failure.message,
                  "submit again with the same key; idempotent jobs are not "
                  "affected");
  }
  switch (claim->claim) {
    case claim_answer::state::kKeyReused:
      return KeyReused();
    case claim_answer::state::kEnded:
      if (claim->outcome) {
        return *claim->outcome;
      }
      return MakeJobFailure(job_effect::kRan, "already_ran",
                            "the job ended earlier as '" + claim->ended_as +
                                "' and its answer is no longer kept",
                            "do not submit it again; look up its effect in "
                            "the service");
    case claim_answer::state::kGranted:
    case claim_answer::state::kRunningHere:
    case claim_answer::state::kRunningElsewhere:
      break;
  }
  return MakeJobFailure(job_effect::kMayHaveRun, "running_elsewhere",
                        "the job was taken by an entry and its end is not "
                        "known here",
                        "ask again with the same key");
}

}  // namespace jayrill
