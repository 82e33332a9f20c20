#ifndef JAYRILL_ENTRY_JOB_FORMAT_H_
#define JAYRILL_ENTRY_JOB_FORMAT_H_

#include <string_view>
#include <tl/expected.hpp>

#include "jayrill/config/cluster_config.h"
#include "jayrill/entry/http/http_exchange.h"
#include "jayrill/job/job_outcome.h"
#include "jayrill/job/job_spec.h"

namespace jayrill {

/// Decodes jobs from HTTP requests and encodes their outcomes as responses.
class job_format {
 public:
  virtual ~job_format() = default;

  /// \returns the job in \p request, or the refusal to answer with.
  virtual tl::expected<job_spec, job_failure> Decode(
      const http_request& request,
      const cluster_config& config) const = 0;

  /// \returns the response with the \p outcome of the job \p id. The id is
  /// empty if the job was refused before it got one.
  virtual http_response Encode(std::string_view id,
                               const job_outcome& outcome) const = 0;
};

/// The JSON format of jayrill's API, which docs/api.md describes.
class json_job_format final : public job_format {
 public:
  tl::expected<job_spec, job_failure> Decode(
      const http_request& request,
      const cluster_config& config) const override;
  http_response Encode(std::string_view id,
                       const job_outcome& outcome) const override;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_JOB_FORMAT_H_
