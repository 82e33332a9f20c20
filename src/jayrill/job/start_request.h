#ifndef JAYRILL_JOB_START_REQUEST_H_
#define JAYRILL_JOB_START_REQUEST_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

#include "jayrill/base/ids.h"
#include "jayrill/job/resource_amount.h"

namespace jayrill {

/// The request of an entry to an agent to start one task.
struct start_request {
  start_number number;
  job_id job;
  std::uint32_t task_index = 0;
  std::string service;
  std::string kind;
  std::string payload;
  std::chrono::milliseconds remaining{};  ///< Time until the job's deadline.
  double priority = 0;        ///< Lower runs first in the agent's queue.
  std::string job_name;       ///< `name` of the job_spec; may be empty.
  std::uint32_t attempt = 1;  ///< Number of this start of the task, from 1.
  resource_amount needs;      ///< Resources that it needs besides one slot.
  /// Run time that the entry expects on this minion; 0 when not known.
  std::chrono::milliseconds expected_run{};
  /// Run time that the entry expects on the average minion; 0 when not known.
  std::chrono::milliseconds typical_run{};
  /// The agent gives the start back when it expects it to wait for longer; 0:
  /// the start may wait until the deadline.
  std::chrono::milliseconds max_wait{};
  std::string profile;  ///< Of its job; empty when not known.
  /// Weight of the profile where profiles share the room of a minion; 0 when
  /// not known.
  std::uint32_t share_weight = 0;

  auto operator<=>(const start_request&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_JOB_START_REQUEST_H_
