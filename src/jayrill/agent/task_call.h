#ifndef JAYRILL_AGENT_TASK_CALL_H_
#define JAYRILL_AGENT_TASK_CALL_H_

#include <compare>
#include <cstdint>

#include "jayrill/agent/run_guard.h"
#include "jayrill/base/clock.h"
#include "jayrill/job/start_request.h"

namespace jayrill {

/// A start that has a slot and is to run on the minion.
struct task_call {
  std::uint64_t id = 0;  ///< Unique within the agent.
  start_request order;
  std::uint16_t port = 0;  ///< Of the minion.
  steady_time released;    ///< When the agent core took it from its queue.
  steady_time deadline;    ///< Of its job.
  /// Bounds the lease of the run; empty: nothing does.
  run_guard_ptr guard = {};

  auto operator<=>(const task_call&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_TASK_CALL_H_
