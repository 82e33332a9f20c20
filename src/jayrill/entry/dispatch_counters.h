#ifndef JAYRILL_ENTRY_DISPATCH_COUNTERS_H_
#define JAYRILL_ENTRY_DISPATCH_COUNTERS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace jayrill {

/// Starts of one profile whose run time depends on the rack.
struct near_counters {
  std::uint64_t far_starts = 0;  ///< In another rack than the best one.
  /// Waits for a place in the best rack that ended with a start: it ended
  /// sooner than a start in another rack would have, or did not.
  std::uint64_t waits_paid = 0;
  std::uint64_t waits_unpaid = 0;
  std::chrono::microseconds waited{};

  auto operator<=>(const near_counters&) const = default;
};

/// Event counts of the dispatcher of an entry since its start.
///
/// A message is one start, result, cancelled start, configuration, heartbeat
/// or report without results, however many of them share a packet.
struct dispatch_counters {
  std::uint64_t jobs_submitted = 0;
  std::uint64_t jobs_completed = 0;
  std::uint64_t jobs_failed = 0;  ///< Refusals included.
  std::uint64_t starts = 0;
  std::uint64_t results = 0;
  std::uint64_t retries = 0;
  std::uint64_t messages_in = 0;
  std::uint64_t messages_out = 0;
  /// Starts that did not run, and results that were dropped.
  std::uint64_t wasted_messages = 0;
  std::uint64_t dropped_results = 0;
  std::uint64_t sessions_lost = 0;  ///< Or ended by the agent.
  std::uint64_t pauses = 0;
  /// Jobs about to expire whose starts were cancelled: all ends came before the
  /// deadline, or did not.
  std::uint64_t settled_in_time = 0;
  std::uint64_t settled_too_late = 0;
  /// How long the entry has waited for its first agents.
  std::chrono::milliseconds start_up_wait{};
  std::map<std::string, std::uint64_t> failures;  ///< By code.
  std::map<std::string, near_counters> near;      ///< By profile.

  auto operator<=>(const dispatch_counters&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_DISPATCH_COUNTERS_H_
