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
    static_cast<std::size_t>(not_run_reason::kBusy) + 1;

/// Event counts since the start of the agent, exported as metrics.
struct agent_counters {
  std::uint64_t admitted = 0;    ///< Starts that entered the run queue.
  std::uint64_t duplicates = 0;  ///< Starts that had been admitted already.
  std::uint64_t fenced = 0;      ///< Starts that came on an older connection.
  std::uint64_t calls = 0;       ///< Starts that were run on the minion.
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t interrupted = 0;  ///< Runs that ended without a result.
  /// How often the runs of an entry were stopped because it was silent.
  std::uint64_t silent_entries = 0;
  std::array<std::uint64_t, kNotRunReasons> not_run{};  ///< By reason.
  /// Results that were not delivered: their session was closed by the entry or
  /// disconnected for too long.
  std::uint64_t dropped_results = 0;
  std::uint64_t pauses = 0;  ///< Pauses of the process.
  std::uint64_t lost_sessions = 0;
  std::uint64_t reports = 0;
  std::uint64_t connects = 0;  ///< Sessions opened or resumed.
  /// Reads of the data centres that are out, made because no entry has
  /// confirmed them, and those without an answer.
  std::uint64_t out_list_reads = 0;
  std::uint64_t failed_out_list_reads = 0;

  auto operator<=>(const agent_counters&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_AGENT_COUNTERS_H_
