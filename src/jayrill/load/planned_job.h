#ifndef JAYRILL_LOAD_PLANNED_JOB_H_
#define JAYRILL_LOAD_PLANNED_JOB_H_

#include <chrono>
#include <compare>
#include <string>
#include <vector>

namespace jayrill {

/// One task that a load run sends.
struct planned_task {
  std::string kind;
  std::chrono::microseconds work{};      ///< Run time at slowness 1.
  std::chrono::microseconds declared{};  ///< 0: not declared.
  std::string preferred_rack = {};       ///< Empty: any.

  auto operator<=>(const planned_task&) const = default;
};

/// One job that a load run sends.
struct planned_job {
  std::chrono::microseconds offset{};  ///< Send time from the start of the run.
  std::string service;
  std::string team;
  bool idempotent = true;
  std::chrono::milliseconds deadline{};
  std::vector<planned_task> tasks;
  bool same_rack = false;  ///< The tasks run faster in one rack.

  auto operator<=>(const planned_job&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_LOAD_PLANNED_JOB_H_
