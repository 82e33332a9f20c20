#ifndef JAYRILL_ENTRY_JOB_REFUSALS_H_
#define JAYRILL_ENTRY_JOB_REFUSALS_H_

#include <optional>
#include <string>

#include "jayrill/base/error.h"
#include "jayrill/config/cluster_config.h"
#include "jayrill/entry/claim_port.h"
#include "jayrill/job/job_outcome.h"
#include "jayrill/job/job_spec.h"

namespace jayrill {

/// \returns a refusal of a job that no part has seen yet.
job_outcome NotRun(std::string code, std::string message, std::string remedy);

/// \returns the refusal of a body or request key that breaks a rule.
job_outcome NotRun(std::string code, const error& failure);

/// Sets the deadline of \p spec if it states none and checks the limits of
/// \p limits.
/// \returns the refusal, if any.
std::optional<job_outcome> ApplyProfile(const profile& limits, job_spec& spec);

/// \returns the outcome for the caller when a claim was not granted.
job_outcome OutcomeOfClaim(const result<claim_answer>& claim);

/// \returns the outcome for a request key that was used for another job.
job_outcome KeyReused();

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_JOB_REFUSALS_H_
