#ifndef JAYRILL_JOB_TASK_RESULT_H_
#define JAYRILL_JOB_TASK_RESULT_H_

#include <chrono>
#include <compare>
#include <string>
#include <string_view>

#include "jayrill/base/ids.h"
#include "jayrill/job/resource_amount.h"

namespace jayrill {

/// What became of a start.
enum class task_outcome {
  kSucceeded,
  kFailed,   ///< Ran; the minion reported a failure.
  kNotRun,   ///< Did not run and will not; may be placed elsewhere.
  kUnknown,  ///< May have run; must not be placed again.
  /// Ran without a result and does not run any more; a repeatable job may
  /// start the task again.
  kInterrupted,
};

/// Why an agent did not run a start.
enum class not_run_reason {
  kNone,
  kStaleConfig,
  kDataCentreOut,
  kDraining,
  kNoMinion,
  kPaused,
  kExpired,
  kCancelled,
  kQueueFull,
  kConnectionRefused,
  kWrongService,
  kRefused,  ///< The minion has refused the start.
};

/// Result of one start, as the agent reports it.
struct task_result {
  start_number number;
  task_outcome outcome = task_outcome::kUnknown;
  std::string body;     ///< JSON of the minion, when it succeeded.
  std::string message;  ///< Reason, when it did not succeed.
  not_run_reason reason = not_run_reason::kNone;
  std::chrono::microseconds run_time{};   ///< Call of the minion.
  std::chrono::microseconds wait_time{};  ///< In the agent's queue.

  auto operator<=>(const task_result&) const = default;
};

/// State of a minion as its agent reports it.
struct minion_status {
  std::string service;  ///< Empty while no minion is announced.
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint32_t busy = 0;    ///< Slots in use by the starts of all entries.
  std::uint32_t queued = 0;  ///< Waiting starts of all entries.
  bool draining = false;
  config_revision revision;  ///< Configuration in force at the agent.
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  /// Estimated time until a new start would get a slot.
  std::chrono::microseconds expected_free{};
  resource_amount room;  ///< That the tasks of the minion share.
  resource_amount used;  ///< Of the room, by running and waiting starts.
  /// How long the minion will be slow because it has just started.
  std::chrono::milliseconds warming_up{};

  auto operator<=>(const minion_status&) const = default;
};

/// \returns the name of \p reason in snake case, for logs and metrics.
std::string_view ToString(not_run_reason reason);

}  // namespace jayrill

#endif  // JAYRILL_JOB_TASK_RESULT_H_
