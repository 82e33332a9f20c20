#ifndef JAYRILL_JOB_TASK_RESULT_H_
#define JAYRILL_JOB_TASK_RESULT_H_

#include <chrono>
#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "jayrill/base/ids.h"
#include "jayrill/job/resource_amount.h"
#include "jayrill/job/task_crash.h"

namespace jayrill {

/// How a start ended.
enum class task_outcome {
  kSucceeded,
  kFailed,   ///< The task ran, and the minion reported a failure.
  kNotRun,   ///< The task did not run and will not; it may be started again.
  kUnknown,  ///< The task may have run; it must not be started again.
  /// The run has ended without a result. The task may be started again if its
  /// job is repeatable.
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
  kRefused,  ///< The minion refused the start.
  kBusy,     ///< The start would have waited longer than its max_wait.
};

/// Result of one start, as the agent reports it.
struct task_result {
  start_number number;
  task_outcome outcome = task_outcome::kUnknown;
  std::string body;     ///< JSON from the minion, if the task succeeded.
  std::string message;  ///< Cause, if the task did not succeed.
  not_run_reason reason = not_run_reason::kNone;
  std::chrono::microseconds run_time{};   ///< Duration of the minion call.
  std::chrono::microseconds wait_time{};  ///< Time in the agent's queue.
  /// Set where the minion has crashed under the run. Known to the agent only:
  /// entries learn of it from minion_status::crashes.
  crash_role crash = crash_role::kNone;

  auto operator<=>(const task_result&) const = default;
};

/// State of a minion as its agent reports it.
struct minion_status {
  std::string service;  ///< Empty while no minion has announced itself.
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint32_t busy = 0;    ///< Slots used by the starts of all entries.
  std::uint32_t queued = 0;  ///< Starts of all entries that wait at the agent.
  bool draining = false;     ///< No new starts should be sent.
  config_revision revision;  ///< Revision that the agent applies.
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  /// Estimated time until a new start would get a slot.
  std::chrono::microseconds time_until_free{};
  resource_amount room;  ///< Capacity that the tasks of the minion share.
  resource_amount used;  ///< Used by running and waiting starts.
  /// Remaining time for which the minion is slow because it has just started.
  std::chrono::milliseconds warm_up_remaining{};
  /// Run time in percent of that on the average minion, by the latest runs of
  /// all entries; 0 when not known.
  std::uint32_t slowness_percent = 0;
  /// Tasks under which the minion has crashed lately, in any of its lives.
  std::vector<task_crash> crashes;
  /// Rack that the minion has announced; empty: that of the agent's hello.
  std::string rack;

  auto operator<=>(const minion_status&) const = default;
};

/// \returns the name of \p reason in snake case, for logs and metrics.
std::string_view ToString(not_run_reason reason);

}  // namespace jayrill

#endif  // JAYRILL_JOB_TASK_RESULT_H_
