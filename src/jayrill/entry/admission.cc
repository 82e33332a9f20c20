#include "jayrill/entry/admission.h"

#include <algorithm>
#include <string>

namespace jayrill {

namespace {

std::string FormatMillis(std::chrono::microseconds duration) {
  return std::to_string(
             std::chrono::ceil<std::chrono::milliseconds>(duration).count()) +
         " ms";
}

}  // namespace

std::optional<refusal> CheckEntry(const entry_state& state,
                                  const job_spec& spec) {
  if (state.draining) {
    return refusal{"draining", "this entry is stopping",
                   "submit again; the load balancer chooses another entry"};
  }
  if (!state.has_config) {
    return refusal{"no_configuration", "this entry has no configuration yet",
                   "submit again after a second"};
  }
  if (state.isolated) {
    return refusal{"isolated",
                   "this entry is cut off from the store and from all other "
                   "data centres",
                   "submit to an entry of another data centre"};
  }
  if (spec.tasks.empty() || spec.tasks.size() > kMaxTasksPerJob) {
    return refusal{"invalid_job",
                   "the job has " + std::to_string(spec.tasks.size()) +
                       " tasks; 1 to " + std::to_string(kMaxTasksPerJob) +
                       " are allowed",
                   "split the job"};
  }
  std::size_t bytes = state.payload_bytes;
  for (const task_spec& task : spec.tasks) {
    bytes += task.payload.size();
  }
  if (state.waiting_tasks + spec.tasks.size() > kMaxWaitingTasks) {
    return refusal{"queue_full",
                   std::to_string(state.waiting_tasks) +
                       " tasks are waiting at this entry",
                   "submit again later or to another entry"};
  }
  if (bytes > kMaxPayloadBytes) {
    return refusal{"queue_full",
                   "the payloads of the jobs at this entry have " +
                       std::to_string(state.payload_bytes) + " bytes",
                   "submit again later or to another entry"};
  }
  return std::nullopt;
}

std::optional<refusal> CheckLimits(const profile& limits,
                                   const job_spec& spec) {
  const std::uint32_t max_tasks = limits.limits.max_tasks;
  if (max_tasks != 0 && spec.tasks.size() > max_tasks) {
    return refusal{"too_many_tasks",
                   "the job has " + std::to_string(spec.tasks.size()) +
                       " tasks; the profile of its service allows " +
                       std::to_string(max_tasks),
                   "split the job or ask the operators for another profile"};
  }
  const std::chrono::milliseconds max_deadline = limits.limits.max_deadline;
  if (max_deadline.count() != 0 && spec.deadline > max_deadline) {
    return refusal{"deadline_too_long",
                   "the deadline is " + FormatMillis(spec.deadline) +
                       "; the profile of its service allows " +
                       FormatMillis(max_deadline),
                   "set a shorter deadline"};
  }
  if (spec.deadline.count() <= 0) {
    return refusal{"deadline_unreachable", "the deadline has passed",
                   "set a longer deadline"};
  }
  return std::nullopt;
}

std::optional<refusal> CheckDeadline(const finish_estimate& estimate,
                                     std::chrono::milliseconds deadline) {
  std::chrono::microseconds finish = estimate.longest_task;
  if (estimate.capacity > 0) {
    const std::chrono::duration<double, std::micro> queue_time =
        estimate.work / estimate.capacity;
    finish = std::max(
        finish,
        std::chrono::duration_cast<std::chrono::microseconds>(queue_time));
  }
  if (finish <= deadline) {
    return std::nullopt;
  }
  return refusal{
      "deadline_unreachable",
      "the job needs at least " + FormatMillis(finish) +
          " by the estimate; its deadline is " + FormatMillis(deadline),
      "set a longer deadline or submit again when the load is lower"};
}

}  // namespace jayrill
