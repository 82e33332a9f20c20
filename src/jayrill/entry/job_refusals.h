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

/// \returns the outcome of a job that was refused, so that nothing of it has
/// run.
job_outcome MakeNotRunOutcome(std::string code,
                              std::string message,
                              std::string remedy);

/// \returns the outcome of a job that was refused with the message and remedy
/// of \p failure.
job_outcome MakeNotRunOutcome(std::string code, const error& failure);

/// Sets the default deadline if \p spec has none, and checks \p spec against
/// the limits of the profile \p limits. \returns the refusal, if any.
std::optional<job_outcome> ApplyProfile(const profile& limits, job_spec& spec);

/// \returns the outcome for the caller of a job whose claim was not granted.
/// Must not be called for an ended claim whose answer is still kept.
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
