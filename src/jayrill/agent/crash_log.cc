#include "jayrill/agent/crash_log.h"

#include <glog/logging.h>

#include <algorithm>

namespace jayrill {

void crash_log::Add(const std::string& job_name,
                    std::uint32_t task_index,
                    crash_role role) {
  if (job_name.empty() || role == crash_role::kNone) {
    return;
  }
  LOG(WARNING) << "agent: the minion has crashed under task=" << job_name << "."
               << task_index
               << " likely_cause=" << (role == crash_role::kLikelyCause);
  // The wall clock keeps the numbers of a restarted agent above the old ones.
  last_number_ = std::max(
      last_number_ + 1,
      static_cast<std::uint64_t>(time_.WallNow().time_since_epoch().count()));
  crashes_.emplace_back(time_.Now(),
                        task_crash{job_name, task_index, last_number_, role});
  if (crashes_.size() > kMaxCrashes) {
    crashes_.pop_front();
  }
}

std::vector<task_crash> crash_log::Recent() const {
  std::vector<task_crash> recent;
  for (const auto& [added_at, crash] : crashes_) {
    if (time_.Now() - added_at <= kRetention) {
      recent.push_back(crash);
    }
  }
  return recent;
}

}  // namespace jayrill
