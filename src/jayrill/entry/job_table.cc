#include "jayrill/entry/job_table.h"

#include <algorithm>

namespace jayrill {

namespace {

std::size_t PayloadBytes(const job_spec& spec) {
  std::size_t sum = 0;
  for (const task_spec& task : spec.tasks) {
    sum += task.payload.size();
  }
  return sum;
}

}  // namespace

job_record* job_table::Add(job_id id, job_spec spec, steady_time now) {
  const auto [position, added] = jobs_.try_emplace(id);
  if (!added) {
    return nullptr;
  }
  position->second = std::make_unique<job_record>(id, std::move(spec), now);
  job_record& job = *position->second;
  deadlines_.emplace(job.deadline, id);
  payload_bytes_ += PayloadBytes(job.spec);
  return &job;
}

job_record* job_table::Find(job_id id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

void job_table::ShortenDeadline(job_record& job, steady_time deadline) {
  if (deadline < job.deadline) {
    deadlines_.erase({job.deadline, job.id});
    job.deadline = deadline;
    deadlines_.emplace(deadline, job.id);
  }
}

void job_table::SetSettleStart(const job_record& job,
                               steady_time settle_start) {
  settle_starts_.emplace(settle_start, job.id);
}

std::vector<job_id> job_table::TakeJobsToSettle(steady_time now) {
  std::vector<job_id> due;
  while (!settle_starts_.empty() && settle_starts_.begin()->first <= now) {
    const job_id id = settle_starts_.begin()->second;
    settle_starts_.erase(settle_starts_.begin());
    const job_record* const job = Find(id);
    if (job != nullptr && !job->decided) {
      due.push_back(id);
    }
  }
  return due;
}

void job_table::MarkDecided(job_record& job) {
  job.decided = true;
  deadlines_.erase({job.deadline, job.id});
  payload_bytes_ -= PayloadBytes(job.spec);
  for (task_spec& task : job.spec.tasks) {
    task.payload = std::string();
  }
}

void job_table::RemoveIfEnded(const job_record& job) {
  if (job.decided && job.outstanding == 0) {
    // The id is copied, because erase destroys the record it is read from.
    const job_id id = job.id;
    jobs_.erase(id);
  }
}

std::vector<job_id> job_table::ExpiredJobs(steady_time now) const {
  std::vector<job_id> expired;
  for (const auto& [deadline, id] : deadlines_) {
    if (deadline > now) {
      break;
    }
    expired.push_back(id);
  }
  return expired;
}

std::vector<job_id> job_table::RepeatableJobs() const {
  std::vector<job_id> found;
  for (const auto& [id, job] : jobs_) {
    if (!job->decided && job->spec.repeatable) {
      found.push_back(id);
    }
  }
  return found;
}

std::optional<steady_time> job_table::NextDeadline() const {
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  const steady_time deadline = deadlines_.begin()->first;
  return settle_starts_.empty()
             ? deadline
             : std::min(deadline, settle_starts_.begin()->first);
}

std::map<std::string, std::uint32_t> job_table::TeamDemand() const {
  std::map<std::string, std::uint32_t> demand;
  for (const auto& [deadline, id] : deadlines_) {
    const job_record& job = *jobs_.at(id);
    demand[job.spec.team] += job.unfinished;
  }
  return demand;
}

}  // namespace jayrill
