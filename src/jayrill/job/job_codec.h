#ifndef JAYRILL_JOB_JOB_CODEC_H_
#define JAYRILL_JOB_JOB_CODEC_H_

#include <chrono>
#include <string>
#include <string_view>

#include "jayrill/base/error.h"
#include "jayrill/job/job_outcome.h"
#include "jayrill/job/job_spec.h"

namespace jayrill {

/// Deadline of a job that does not set one.
inline constexpr std::chrono::milliseconds kDefaultDeadline{30'000};
/// Longest deadline. Equal to kClaimWindow, so that a job has ended before its
/// claim is removed.
inline constexpr std::chrono::milliseconds kMaxDeadline{600'000};

/// \returns the job in the JSON \p body of a submission, or an error
/// kInvalidArgument that names the field. Unknown fields are an error. A
/// deadline that is not set is left at 0. Payloads are kept as compact JSON.
result<job_spec> DecodeJob(std::string_view body);

/// \returns the JSON body of the response for a job. \p id is its job_id as
/// text, or empty for a job that was refused before it got one.
std::string EncodeOutcome(std::string_view id, const job_outcome& outcome);

/// \returns \p outcome, or a failure `bad_result` when one of its results is
/// not JSON, because that would make the whole response invalid.
job_outcome CheckResults(job_outcome outcome);

/// \returns the HTTP status of the response with \p outcome.
int HttpStatusOf(const job_outcome& outcome);

/// \returns \p text as a JSON string with its quotes.
std::string QuoteJson(std::string_view text);

}  // namespace jayrill

#endif  // JAYRILL_JOB_JOB_CODEC_H_
