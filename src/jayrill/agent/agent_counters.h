#ifndef JAYRILL_AGENT_AGENT_COUNTERS_H_
#define JAYRILL_AGENT_AGENT_COUNTERS_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "jayrill/job/task_result.h"

namespace jayrill {

/// Number of enumerators of not_run_reason.
inline constexpr std::size_t kNotRunReasons =
    static_cast<std::size_t>(not_run_reason::kRefused) + 1;

/// What an agent has counted since its start; for metrics.
struct agent_counters {
  std::uint64_t admitted = 0;    ///< Starts that entered the run queue.
  std::uint64_t duplicates = 0;  ///< Starts that were admitted before.
  std::uint64_t fenced = 0;      ///< Starts of an earlier connection.
  std::uint64_t calls = 0;       ///< Calls of the minion.
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t interrupted = 0;     ///< Runs that ended without a result.
  std::uint64_t silent_entries = 0;  ///< Whose runs were stopped.
  std::array<std::uint64_t, kNotRunReasons> not_run{};  ///< By reason.
  std::uint64_t dropped_results = 0;  ///< Of sessions that the entry closed.
  std::uint64_t pauses = 0;
  std::uint64_t lost_sessions = 0;
  std::uint64_t reports = 0;
  std::uint64_t connects = 0;  ///< Sessions opened or resumed.

  auto operator<=>(const agent_counters&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_AGENT_COUNTERS_H_
