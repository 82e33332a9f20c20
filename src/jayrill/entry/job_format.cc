#include "jayrill/entry/job_format.h"

#include "jayrill/entry/job_refusals.h"
#include "jayrill/job/job_codec.h"

namespace jayrill {

tl::expected<job_spec, job_failure> json_job_format::Decode(
    const http_request& request,
    const cluster_config& /*config*/) const {
  result<job_spec> spec = DecodeJob(request.Body());
  if (!spec) {
    return tl::unexpected(
        MakeNotRunOutcome("invalid_request", spec.error()).error());
  }
  return std::move(*spec);
}

http_response json_job_format::Encode(std::string_view id,
                                      const job_outcome& outcome) const {
  http_response response{HttpStatusOf(outcome), EncodeOutcome(id, outcome)};
  if (response.status == 503) {
    response.retry_after = outcome.error().retry_after;
  }
  return response;
}

}  // namespace jayrill
