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

namespace jayrill {

/// A task that waits at the entry.
struct queued_task {
  job_id job;
  std::uint32_t index = 0;
  std::uint32_t urgency = 50;            ///< 0 to 100; higher goes first.
  steady_time arrival;                   ///< Of the job.
  std::chrono::microseconds run_time{};  ///< Expected on the average minion.
  /// Time that the whole job would need alone on the fleet.
  std::chrono::microseconds job_time{};
  /// When the job has to end to be in time; zero: four times job_time.
  steady_time due{};
  bool has_failed = false;  ///< A run of the task has failed.
  bool is_late = false;     ///< It cannot end by due any more.
  resource_amount needs{};

  auto operator<=>(const queued_task&) const = default;
};

/// Waiting tasks of one service in the order in which they should start.
///
/// The order is that of latest start times: a job is due after twice the time
/// that it would need alone, and each task has to start its own run time before
/// that. So short jobs are not held up by long ones in proportion to their
/// length, and the longest task of a job, on which its end depends, goes first.
/// Each point of urgency is worth a fixed head start. A task is overtaken only
/// by tasks that arrive before its own due time, so it cannot starve.
///
/// Tasks of jobs with an objective that they cannot meet any more go after all
/// others. Under overload, work on late jobs would make every later job late as
/// well.
class task_queue {
 private:
  struct start_order_less {
    bool operator()(const queued_task& a, const queued_task& b) const;
  };

 public:
  using const_iterator =
      std::set<queued_task, start_order_less>::const_iterator;

  void Push(const queued_task& task);

  /// Removes the task at \p position.
  /// \returns the position after it.
  const_iterator Remove(const_iterator position);

  /// \returns the next task, or nothing when the queue is empty.
  const queued_task* Front() const {
    return tasks_.empty() ? nullptr : &*tasks_.begin();
  }

  /// Moves the tasks at the front that cannot end by their due time behind all
  /// others. \p least_slowness: that of the fastest minion.
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
    return start_order_less()(a, b);
  }

  /// \returns the value that orders the task at agents; lower runs first.
  static double Priority(const queued_task& task);

  std::size_t size() const { return tasks_.size(); }
  bool empty() const { return tasks_.empty(); }

  /// Iterates in start order.
  const_iterator begin() const { return tasks_.begin(); }
  const_iterator end() const { return tasks_.end(); }

 private:
  using positions = std::unordered_map<std::uint32_t, const_iterator>;

  std::set<queued_task, start_order_less> tasks_;
  std::unordered_map<job_id, positions> jobs_;  // By task index.
  std::map<std::uint32_t, std::chrono::microseconds> run_time_by_urgency_;
};

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_TASK_QUEUE_H_
