#include "jayrill/placement/task_queue.h"

#include <cassert>
#include <tuple>

namespace jayrill {

namespace {

/// Head start of one point of urgency. With 40 ms, the most urgent profile
/// overtakes the least urgent one by at most 4 s.
constexpr std::chrono::milliseconds kUrgencyHeadStart{40};

steady_time VirtualArrival(const queued_task& task) {
  return task.arrival - task.urgency * kUrgencyHeadStart;
}

}  // namespace

bool task_queue::start_order_less::operator()(const queued_task& a,
                                              const queued_task& b) const {
  const auto key = [](const queued_task& task) {
    return std::make_tuple(VirtualArrival(task), task.job, -task.run_time,
                           task.index);
  };
  return key(a) < key(b);
}

void task_queue::Push(const queued_task& task) {
  const bool added = tasks_.insert(task).second;
  assert(added && "a task waits at most once");
  if (!added) {
    return;
  }
  run_time_by_urgency_[task.urgency] += task.run_time;
  waiting_job& job = jobs_[task.job];
  if (job.count++ == 0) {
    job.first = task;
    job.first.run_time = std::chrono::microseconds::max();
    job.first.index = 0;
  }
}

task_queue::const_iterator task_queue::Remove(const_iterator position) {
  run_time_by_urgency_[position->urgency] -= position->run_time;
  const auto job = jobs_.find(position->job);
  if (--job->second.count == 0) {
    jobs_.erase(job);
  }
  return tasks_.erase(position);
}

void task_queue::PopFront() {
  assert(!tasks_.empty() && "the queue must not be empty");
  Remove(tasks_.begin());
}

std::size_t task_queue::RemoveJob(job_id job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) {
    return 0;
  }
  auto position = tasks_.lower_bound(found->second.first);
  std::size_t removed = 0;
  while (position != tasks_.end() && position->job == job) {
    position = Remove(position);
    ++removed;
  }
  return removed;
}

std::chrono::microseconds task_queue::RunTimeAhead(
    std::uint32_t urgency) const {
  std::chrono::microseconds sum{};
  for (auto it = run_time_by_urgency_.lower_bound(urgency);
       it != run_time_by_urgency_.end(); ++it) {
    sum += it->second;
  }
  return sum;
}

double task_queue::Priority(const queued_task& task) {
  return std::chrono::duration<double>(VirtualArrival(task).time_since_epoch())
      .count();
}

}  // namespace jayrill
