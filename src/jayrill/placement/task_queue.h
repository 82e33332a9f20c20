#ifndef JAYRILL_PLACEMENT_TASK_QUEUE_H_
#define JAYRILL_PLACEMENT_TASK_QUEUE_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>

#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"
#include "jayrill/job/resource_amount.h"
#include "jayrill/placement/rack_id.h"

namespace jayrill {

/// A task that waits at the entry to be started.
struct queued_task {
  job_id job;
  std::uint32_t index = 0;
  std::uint32_t urgency = 50;            ///< 0 to 100; higher starts earlier.
  steady_time arrival;                   ///< Arrival of the job.
  std::chrono::microseconds run_time{};  ///< Expected on the average minion.
  /// Time that the whole job would need if no other job ran.
  std::chrono::microseconds job_time{};
  /// When the job has to end. Default-constructed: four times job_time after
  /// its arrival.
  steady_time due{};
  bool has_failed = false;  ///< A run of the task has failed.
  bool is_late = false;     ///< The task can no longer end by `due`.
  resource_amount needs{};
  rack_id rack{};  ///< Where it runs fastest; 0: any, or that of its group.
  /// Tasks of the job that should run in one rack; 0: they need not.
  std::uint32_t group_size = 0;

  auto operator<=>(const queued_task&) const = default;
};

/// Waiting tasks of one service in the order in which they should start.
///
/// Tasks are ordered by their latest start time: the time when the job is due,
/// minus the expected run time of the task, minus a fixed time for each point
/// of urgency. A job is due at its objective or, without one, after four times
/// the time that it would need alone. So a short job does not wait long behind
/// a long one, and the longest task of a job, which usually determines when the
/// job ends, starts first. Tasks that arrive later have ever later latest start
/// times, so no task is overtaken for ever.
///
/// DeferLate moves tasks that can no longer meet their objective behind all
/// others. Under overload, running late jobs first would make every later job
/// late as well.
///
/// Not thread-safe.
class task_queue {
 private:
  struct latest_start_less {
    bool operator()(const queued_task& a, const queued_task& b) const;
  };

 public:
  using const_iterator =
      std::set<queued_task, latest_start_less>::const_iterator;

  /// Adds \p task. The queue must not contain a task with the same job and
  /// index.
  void Push(const queued_task& task);

  /// Removes the task at \p position.
  /// \returns the position after it.
  const_iterator Remove(const_iterator position);

  /// \returns the next task, or nothing when the queue is empty.
  const queued_task* Front() const {
    return tasks_.empty() ? nullptr : &*tasks_.begin();
  }

  /// Moves the tasks at the front that can no longer end by their due time
  /// behind all others.
  /// \param least_slowness slowness of the fastest minion.
  void DeferLate(steady_time now, double least_slowness);

  /// Removes the task that Front returns. The queue must not be empty.
  void PopFront();

  /// Removes all tasks of \p job.
  /// \returns how many were removed.
  std::size_t RemoveJob(job_id job);

  /// \returns the sum of the expected run times of all waiting tasks.
  std::chrono::microseconds TotalRunTime() const { return RunTimeAhead(0); }

  /// \returns the sum of the expected run times of the waiting tasks whose
  /// urgency is at least \p urgency.
  std::chrono::microseconds RunTimeAhead(std::uint32_t urgency) const;

  /// \returns true when \p a should start before \p b.
  static bool StartsBefore(const queued_task& a, const queued_task& b) {
    return latest_start_less()(a, b);
  }

  /// \returns the value by which agents order the task; lower runs first.
  static double Priority(const queued_task& task);

  std::size_t size() const { return tasks_.size(); }
  bool empty() const { return tasks_.empty(); }

  /// Iterates in start order.
  const_iterator begin() const { return tasks_.begin(); }
  const_iterator end() const { return tasks_.end(); }

 private:
  using positions = std::unordered_map<std::uint32_t, const_iterator>;

  std::set<queued_task, latest_start_less> tasks_;
  std::unordered_map<job_id, positions> tasks_by_job_;  // By task index.
  std::map<std::uint32_t, std::chrono::microseconds> run_time_by_urgency_;
};

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_TASK_QUEUE_H_
