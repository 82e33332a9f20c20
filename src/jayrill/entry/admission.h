#ifndef JAYRILL_ENTRY_ADMISSION_H_
#define JAYRILL_ENTRY_ADMISSION_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "jayrill/config/cluster_config.h"
#include "jayrill/entry/refusal.h"
#include "jayrill/job/job_spec.h"

namespace jayrill {

/// Most tasks that wait at an entry; bounds its memory. At its design load an
/// entry starts this many tasks in six seconds.
inline constexpr std::size_t kMaxWaitingTasks = 20'000;

/// Most bytes of payload in undecided jobs; bounds the memory of an entry.
inline constexpr std::size_t kMaxPayloadBytes = std::size_t{10} << 20U;

/// State of the entry on which its admission of jobs depends.
struct entry_state {
  bool draining = false;
  bool has_config = false;
  bool isolated = false;
  std::size_t waiting_tasks = 0;
  std::size_t payload_bytes = 0;
};

/// Lower bound of the time that a job takes on the minions that may run it.
struct finish_estimate {
  std::chrono::microseconds longest_task{};  ///< On the fastest minion.
  /// Sum of the run times of the job and of the tasks queued before it.
  std::chrono::microseconds work{};
  double capacity = 0;  ///< Tasks at once, in slots of the average minion.
};

/// \returns a refusal when the entry cannot take \p spec now.
std::optional<refusal> CheckEntry(const entry_state& state,
                                  const job_spec& spec);

/// \returns a refusal when \p spec exceeds the limits of its profile.
std::optional<refusal> CheckLimits(const profile& limits, const job_spec& spec);

/// \returns a refusal when the job cannot finish within \p deadline.
std::optional<refusal> CheckDeadline(const finish_estimate& estimate,
                                     std::chrono::milliseconds deadline);

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_ADMISSION_H_
