#include <glog/logging.h>

#include "jayrill/entry/dispatcher.h"

namespace jayrill {

void dispatcher::LearnCrashes(agent_handle agent,
                              const std::vector<task_crash>& crashes) {
  if (crashes.empty()) {
    return;
  }
  const auto given_up = crashes_.Add(agent, crashes, time_.Now());
  for (const auto& [job_name, index] : given_up) {
    LOG(WARNING) << "dispatch: giving up a task that crashes minions task="
                 << job_name << "." << index;
  }
  if (given_up.empty()) {
    return;
  }
  for (const job_id id : jobs_.RepeatableJobs()) {
    if (job_record* const job = jobs_.Find(id)) {
      FailIfGivenUp(*job);
    }
  }
}

bool dispatcher::FailIfGivenUp(job_record& job) {
  // Without a name, a job cannot be told from others; other jobs fail with the
  // first crash.
  if (job.decided || !job.spec.repeatable || job.spec.name.empty()) {
    return false;
  }
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    if (crashes_.IsGivenUp(job.spec.name, i) &&
        job.collector.GiveUp(
            kCrashingTaskCode,
            "minions have crashed under task " + std::to_string(i),
            "correct the task before submitting it in a new job")) {
      OnDecided(job);
      return true;
    }
  }
  return false;
}

}  // namespace jayrill
