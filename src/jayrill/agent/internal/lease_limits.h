#ifndef JAYRILL_AGENT_INTERNAL_LEASE_LIMITS_H_
#define JAYRILL_AGENT_INTERNAL_LEASE_LIMITS_H_

#include <chrono>
#include <cstdint>

namespace jayrill::agent::internal {

/// Delay before a report that had no answer is asked for again.
inline constexpr std::chrono::milliseconds kRetryDelay{20};

/// Reports without an answer after which the lease is not renewed any more, so
/// that its end can be told.
inline constexpr std::uint32_t kFailuresToLetLapse = 3;

}  // namespace jayrill::agent::internal

#endif  // JAYRILL_AGENT_INTERNAL_LEASE_LIMITS_H_
