#ifndef JAYRILL_AGENT_INTERNAL_LEASE_LIMITS_H_
#define JAYRILL_AGENT_INTERNAL_LEASE_LIMITS_H_

#include <chrono>
#include <cstdint>

namespace jayrill::agent::internal {

/// Delay before a report is requested again after a failed request, or to see
/// whether the runs of an earlier agent have ended.
inline constexpr std::chrono::milliseconds kReportRetryDelay{20};

/// Failed requests in a row after which the lease is not renewed any more, so
/// that the runs count as ended once it has expired.
inline constexpr std::uint32_t kMaxRenewalFailures = 3;

}  // namespace jayrill::agent::internal

#endif  // JAYRILL_AGENT_INTERNAL_LEASE_LIMITS_H_
