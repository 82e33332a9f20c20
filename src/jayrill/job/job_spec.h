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

/// One task of a job as its caller describes it.
struct task_spec {
  std::string kind;     ///< Tasks of the same kind have similar run times.
  std::string payload;  ///< JSON, passed to the minion unchanged.
  /// Run time that the caller expects; an estimate, not a limit.
  std::optional<std::chrono::milliseconds> declared;
  resource_amount needs{};  ///< Resources that it needs besides one slot.
  /// Rack in which it runs fastest, for example that of its data; empty: any.
  std::string preferred_rack = {};

  auto operator<=>(const task_spec&) const = default;
};

/// A job as its caller describes it.
struct job_spec {
  std::string service;
  std::string team;
  bool idempotent = true;
  std::string request_key;  ///< Required unless the job is idempotent.
  /// Name that the caller gave the job, or empty. Minions that keep the runs of
  /// tasks identify them by it.
  std::string name;
  /// Profile of the job; empty for the profile of its service.
  std::string profile;
  /// The caller submits the job again when its connection breaks or the
  /// response may be lost. So a run that ended without a result may be
  /// repeated, and no run may continue after the caller's connection has ended.
  bool repeatable = false;
  /// The tasks run faster when all of them run in one rack.
  bool same_rack = false;
  /// Measured from the arrival of the job at the entry; 0 when not set.
  std::chrono::milliseconds deadline{};
  std::vector<task_spec> tasks;

  auto operator<=>(const job_spec&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_JOB_JOB_SPEC_H_
