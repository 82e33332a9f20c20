#include "jayrill/entry/service_pool.h"

#include <algorithm>

namespace jayrill {

void service_pool::AddMinion(agent_session* session) {
  minions_.push_back(session);
  needs_placement_ = true;
}

void service_pool::RemoveMinion(const agent_session* session) {
  std::erase(minions_, session);
}

void service_pool::Push(const std::string& team, const queued_task& task) {
  queues_[team].Push(task);
  ++waiting_;
  needs_placement_ = true;
}

std::size_t service_pool::RemoveJob(const std::string& team, job_id job) {
  const auto found = queues_.find(team);
  if (found == queues_.end()) {
    return 0;
  }
  const std::size_t removed = found->second.RemoveJob(job);
  waiting_ -= removed;
  if (found->second.empty()) {
    queues_.erase(found);
  }
  return removed;
}

task_queue::const_iterator service_pool::Remove(
    task_queue& queue,
    task_queue::const_iterator position) {
  --waiting_;
  return queue.Remove(position);
}

std::set<job_id> service_pool::WaitingJobs() const {
  std::set<job_id> jobs;
  for (const auto& [team, queue] : queues_) {
    for (const queued_task& task : queue) {
      jobs.insert(task.job);
    }
  }
  return jobs;
}

bool service_pool::Satisfies(const agent_session& session,
                             const profile_placement& limits) {
  const minion_status& status = session.status();
  return (limits.data_centres.empty() ||
          limits.data_centres.contains(session.hello().data_centre)) &&
         status.cores >= limits.min_cores &&
         status.memory_mb >= limits.min_memory_mb &&
         status.accelerators >= limits.min_accelerators;
}

std::optional<refusal> service_pool::UnavailableReason(
    const cluster_config& config) const {
  const profile_placement& limits = config.ProfileOf(service_).placement;
  bool satisfied = false;
  bool in_service = false;
  for (const agent_session* minion : minions_) {
    if (!Satisfies(*minion, limits)) {
      continue;
    }
    satisfied = true;
    if (minion->in_service()) {
      in_service = true;
      if (!minion->status().draining) {
        return std::nullopt;
      }
    }
  }
  if (minions_.empty() || in_service) {
    return refusal{"no_minion",
                   "no minion of service '" + service_ + "' takes work",
                   "check the name of the service and that its minions "
                   "announce themselves"};
  }
  if (!satisfied) {
    return refusal{"placement_impossible",
                   "none of the " + std::to_string(minions_.size()) +
                       " minions of service '" + service_ +
                       "' satisfies the placement of its profile",
                   "ask the operators to change the profile"};
  }
  return refusal{"data_centre_out",
                 "every minion of service '" + service_ +
                     "' that satisfies its profile is in a data centre that "
                     "is out of service",
                 "submit again when a data centre is back in service"};
}

std::optional<steady_time> service_pool::UpdateUnavailableSince(
    const cluster_config& config,
    steady_time now) {
  if (!UnavailableReason(config)) {
    unavailable_since_.reset();
  } else if (!unavailable_since_) {
    unavailable_since_ = now;
  }
  return unavailable_since_;
}

std::chrono::microseconds service_pool::RunTimeAhead(
    std::uint32_t urgency) const {
  std::chrono::microseconds sum{};
  for (const auto& [team, queue] : queues_) {
    sum += queue.RunTimeAhead(urgency);
  }
  return sum;
}

}  // namespace jayrill
