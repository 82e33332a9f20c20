#include "jayrill/placement/task_queue.h"

#include <cassert>
#include <tuple>
#include <utility>

namespace jayrill {

namespace {

/// How much earlier a task has to start for each point of urgency. Urgency is 0
/// to 100, so 40 ms moves the most urgent task ahead of the least urgent one by
/// at most 4 s.
constexpr std::chrono::milliseconds kStartAdvancePerUrgency{40};

/// A job without an objective is due after this multiple of the time that it
/// would need alone. See docs/measurements.md.
constexpr int kDueFactor = 4;

steady_time LatestStart(const queued_task& task) {
  const steady_time due = task.due == steady_time{}
                              ? task.arrival + task.job_time * kDueFactor
                              : task.due;
  return due - task.run_time - task.urgency * kStartAdvancePerUrgency;
}

}  // namespace

bool task_queue::latest_start_less::operator()(const queued_task& a,
                                               const queued_task& b) const {
  const auto key = [](const queued_task& task) {
    return std::make_tuple(task.is_late, LatestStart(task), task.job,
                           task.index);
  };
  return key(a) < key(b);
}

void task_queue::Push(const queued_task& task) {
  const auto [position, added] = tasks_.insert(task);
  assert(added && "a task waits at most once");
  if (!added) {
    return;
  }
  run_time_by_urgency_[task.urgency] += task.run_time;
  tasks_by_job_[task.job].emplace(task.index, position);
}

task_queue::const_iterator task_queue::Remove(const_iterator position) {
  run_time_by_urgency_[position->urgency] -= position->run_time;
  const auto job = tasks_by_job_.find(position->job);
  job->second.erase(position->index);
  if (job->second.empty()) {
    tasks_by_job_.erase(job);
  }
  return tasks_.erase(position);
}

void task_queue::DeferLate(steady_time now, double least_slowness) {
  const auto is_late = [&](const queued_task& task) {
    const std::chrono::duration<double, std::micro> run =
        task.run_time * least_slowness;
    return task.due != steady_time{} &&
           now + std::chrono::duration_cast<steady_duration>(run) > task.due;
  };
  while (!tasks_.empty() && !tasks_.begin()->is_late &&
         is_late(*tasks_.begin())) {
    queued_task task = *tasks_.begin();
    PopFront();
    task.is_late = true;
    Push(task);
  }
}

void task_queue::PopFront() {
  assert(!tasks_.empty() && "the queue must not be empty");
  Remove(tasks_.begin());
}

std::size_t task_queue::RemoveJob(job_id job) {
  const auto found = tasks_by_job_.find(job);
  if (found == tasks_by_job_.end()) {
    return 0;
  }
  const positions removed = std::move(found->second);
  tasks_by_job_.erase(found);
  for (const auto& [index, position] : removed) {
    run_time_by_urgency_[position->urgency] -= position->run_time;
    tasks_.erase(position);
  }
  return removed.size();
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
  return std::chrono::duration<double>(LatestStart(task).time_since_epoch())
      .count();
}

}  // namespace jayrill
