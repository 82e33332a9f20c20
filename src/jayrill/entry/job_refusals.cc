#include "jayrill/entry/job_refusals.h"

#include <algorithm>
#include <utility>

#include "jayrill/base/hash.h"
#include "jayrill/claim/request_key.h"
#include "jayrill/job/job_codec.h"

namespace jayrill {

job_outcome MakeNotRunOutcome(std::string code,
                              std::string message,
                              std::string remedy) {
  return MakeJobFailure(job_effect::kNotRun, std::move(code),
                        std::move(message), std::move(remedy));
}

job_outcome MakeNotRunOutcome(std::string code, const error& failure) {
  return MakeNotRunOutcome(std::move(code), failure.message, failure.remedy);
}

std::optional<job_outcome> ApplyProfile(const profile& limits, job_spec& spec) {
  const std::chrono::milliseconds max_deadline = limits.limits.max_deadline;
  if (spec.deadline.count() == 0) {
    spec.deadline = max_deadline.count() == 0
                        ? kDefaultDeadline
                        : std::min(kDefaultDeadline, max_deadline);
  }
  const std::uint32_t max_tasks = limits.limits.max_tasks;
  if (max_tasks != 0 && spec.tasks.size() > max_tasks) {
    return MakeNotRunOutcome(
        "too_many_tasks",
        "the job has " + std::to_string(spec.tasks.size()) +
            " tasks; the profile of its service allows " +
            std::to_string(max_tasks),
        "split the job or ask the operators for another profile");
  }
  if (max_deadline.count() != 0 && spec.deadline > max_deadline) {
    return MakeNotRunOutcome("deadline_too_long",
                             "the deadline is " +
                                 std::to_string(spec.deadline.count()) +
                                 " ms; the profile of its service allows " +
                                 std::to_string(max_deadline.count()) + " ms",
                             "set a shorter deadline");
  }
  return std::nullopt;
}

job_outcome KeyReused() {
  return MakeNotRunOutcome(
      "key_reused", "the request key belongs to a job with other content",
      "give each job a key of its own");
}

job_outcome OutcomeOfClaim(const claim_decision& decision) {
  switch (decision.what) {
    case claim_decision::kind::kRefused:
      return MakeNotRunOutcome(decision.code, decision.message,
                               decision.remedy);
    case claim_decision::kind::kEnded:
      return MakeJobFailure(job_effect::kRan, "already_ran",
                            "the job ended earlier as '" +
                                decision.outcome.outcome +
                                "' and its answer is no longer kept",
                            "do not submit it again; look up its effect in "
                            "the service");
    case claim_decision::kind::kGranted:
    case claim_decision::kind::kRunningHere:
    case claim_decision::kind::kRunningElsewhere:
      break;
  }
  return MakeJobFailure(job_effect::kMayHaveRun, "running_elsewhere",
                        "an entry has accepted the job, and its outcome is "
                        "not known here",
                        "ask again with the same key");
}

std::optional<job_outcome> CheckKey(std::string_view text, wall_time now) {
  const result<request_key> key = ParseRequestKey(text);
  if (!key) {
    return MakeNotRunOutcome("key_malformed", key.error());
  }
  const std::string offset = std::to_string((key->time - now).count()) + " ms";
  switch (AgeOf(key->time, now)) {
    case key_age::kExpired:
      return MakeNotRunOutcome(
          "key_expired",
          "the time of the request key is " + offset +
              " from now; 10 min in the past are allowed",
          "check whether the job took effect before submitting it "
          "with a new key");
    case key_age::kInFuture:
      return MakeNotRunOutcome("key_in_future",
                               "the time of the request key is " + offset +
                                   " from now; 1 min is allowed",
                               "correct the clock of the client");
    case key_age::kValid:
      break;
  }
  return std::nullopt;
}

std::uint64_t ContentHash(const job_spec& spec) {
  std::uint64_t hash = StableHash(spec.service);
  hash = StableHash(spec.team, hash);
  for (const task_spec& task : spec.tasks) {
    hash = StableHash(task.kind, hash);
    hash = StableHash(task.payload, hash);
  }
  return hash;
}

}  // namespace jayrill
