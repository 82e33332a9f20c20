#ifndef JAYRILL_JOB_START_ORDER_H_
#define JAYRILL_JOB_START_ORDER_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

#include "jayrill/base/ids.h"

namespace jayrill {

/// One task as an entry sends it to an agent to be started.
struct start_order {
  start_number number;
  job_id job;
  std::uint32_t task_index = 0;
  std::string service;
  std::string kind;
  std::string payload;
  std::chrono::milliseconds remaining{};  ///< Until the job's deadline.
  double priority = 0;  ///< Lower runs first in the agent's queue.

  auto operator<=>(const start_order&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_JOB_START_ORDER_H_
