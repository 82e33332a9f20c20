#include "jayrill/entry/crash_table.h"

namespace jayrill {

std::vector<crash_table::task_key> crash_table::Add(
    agent_handle agent,
    const std::vector<task_crash>& crashes,
    steady_time now) {
  std::vector<task_key> given_up;
  for (const task_crash& crash : crashes) {
    const task_key key{crash.job_name, crash.task_index};
    crash_record& record = tasks_[key];
    const bool was_given_up = record.is_given_up();
    if (!record.crashes.emplace(agent.value, crash.number).second) {
      continue;
    }
    record.likely += crash.role == crash_role::kLikelyCause ? 1 : 0;
    record.last_crash = now;
    ages_.erase(record.age_rank);
    record.age_rank = ++last_age_;
    ages_.emplace(record.age_rank, key);
    if (!was_given_up && record.is_given_up()) {
      given_up.push_back(key);
    }
  }
  Forget(now);
  return given_up;
}

bool crash_table::IsGivenUp(const std::string& job_name,
                            std::uint32_t index) const {
  if (tasks_.empty()) {
    return false;
  }
  const auto found = tasks_.find(task_key(job_name, index));
  return found != tasks_.end() && found->second.is_given_up();
}

void crash_table::Forget(steady_time now) {
  while (!ages_.empty()) {
    const auto oldest = tasks_.find(ages_.begin()->second);
    if (tasks_.size() <= kMaxTasks &&
        now - oldest->second.last_crash <= kRetention) {
      return;
    }
    tasks_.erase(oldest);
    ages_.erase(ages_.begin());
  }
}

}  // namespace jayrill
