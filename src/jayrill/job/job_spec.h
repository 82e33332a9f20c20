#ifndef JAYRILL_JOB_JOB_SPEC_H_
#define JAYRILL_JOB_JOB_SPEC_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/job/resource_amount.h"

namespace jayrill {

/// Largest number of tasks of one job.
inline constexpr std::size_t kMaxTasksPerJob = 1900;

/// One task as its caller describes it.
struct task_spec {
  std::string kind;     ///< Groups tasks with similar run times.
  std::string payload;  ///< JSON, passed to the minion as it is.
  /// Run time that the caller expects; only a first estimate.
  std::optional<std::chrono::milliseconds> declared;
  resource_amount needs{};  ///< Beside a slot of the minion.

  auto operator<=>(const task_spec&) const = default;
};

/// One submission as its caller describes it.
struct job_spec {
  std::string service;
  std::string team;
  bool idempotent = true;
  std::string request_key;  ///< Empty unless the job is not idempotent.
  /// Name that the caller gave the job; minions that keep runs know its tasks
  /// by it. Empty: none.
  std::string name;
  /// Profile that the job runs under; empty: the one of its service.
  std::string profile;
  /// The caller sends the job again when its connection breaks or the answer
  /// may be lost. A run that ended without a result may then be repeated, and
  /// no run may outlive the caller's connection.
  bool repeatable = false;
  std::chrono::milliseconds deadline{};  ///< From its arrival at the entry.
  std::vector<task_spec> tasks;

  auto operator<=>(const job_spec&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_JOB_JOB_SPEC_H_
