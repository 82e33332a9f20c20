#ifndef JAYRILL_ENTRY_JOB_REFUSALS_H_
#define JAYRILL_ENTRY_JOB_REFUSALS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/claim/claim_decision.h"
#include "jayrill/config/cluster_config.h"
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

/// \returns the outcome for the caller of a job whose claim was not granted.
/// An ended claim that keeps its answer is not handled here.
job_outcome OutcomeOfClaim(const claim_decision& decision);

/// Checks the form and the age of the request key \p text.
/// \returns the refusal, if any.
std::optional<job_outcome> CheckKey(std::string_view text, wall_time now);

/// \returns the outcome for a request key that was used for another job.
job_outcome KeyReused();

/// \returns a hash of everything in \p spec that a resubmission must repeat.
/// The deadline may differ.
std::uint64_t ContentHash(const job_spec& spec);

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_JOB_REFUSALS_H_
