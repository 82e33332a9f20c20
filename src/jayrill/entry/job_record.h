#ifndef JAYRILL_ENTRY_JOB_RECORD_H_
#define JAYRILL_ENTRY_JOB_RECORD_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"
#include "jayrill/entry/agent_hello.h"
#include "jayrill/job/job_collector.h"
#include "jayrill/job/job_spec.h"
#include "jayrill/placement/rack_id.h"
#include "jayrill/placement/task_queue.h"

namespace jayrill {

/// One task of an admitted job.
struct task_record {
  agent_handle agent;   ///< Of the outstanding start.
  start_number number;  ///< Of the outstanding start; 0 when there is none.
  std::uint32_t starts = 0;
  std::uint32_t returns = 0;   ///< Starts that busy minions gave back.
  std::uint32_t failures = 0;  ///< Runs that have failed.
  std::chrono::microseconds run_time{};  ///< Expected on the average minion.
  /// Run time of the outstanding start relative to one in the best rack.
  double run_time_factor = 1;
};

/// An admitted job, until it is decided and its last start has ended.
struct job_record {
  job_record(job_id job, job_spec submitted, steady_time now)
      : id(job),
        spec(std::move(submitted)),
        arrival(now),
        deadline(now + spec.deadline),
        collector(spec.tasks.size()),
        tasks(spec.tasks.size()),
        unfinished(static_cast<std::uint32_t>(spec.tasks.size())) {}

  job_id id;
  job_spec spec;
  std::string profile;  ///< Its running tasks count for this profile's limit.
  std::uint32_t urgency = 50;
  steady_time arrival;
  std::optional<steady_time> first_start;
  steady_time deadline;
  /// Estimated time that the job takes when it has all minions for itself.
  std::chrono::microseconds ideal_time{};
  /// When the job has to end to meet its latency objective; zero: it has none.
  steady_time due;
  /// When the job is expected to end: after its ideal time, or later when a
  /// task that was sent is expected to end later.
  steady_time expected_end;
  job_collector collector;
  std::vector<task_record> tasks;
  std::uint32_t unfinished;       ///< Tasks without a success.
  std::uint32_t outstanding = 0;  ///< Starts without a result.
  bool decided = false;
  /// Its starts were cancelled shortly before its deadline, so that the caller
  /// can be told whether it has run.
  bool is_settling = false;

  /// \returns true when each task without a success has an outstanding start.
  bool IsStarted() const { return outstanding == unfinished; }

  /// \returns the queue entry of task \p index.
  queued_task Queued(std::uint32_t index) const {
    return {id,
            index,
            urgency,
            arrival,
            tasks[index].run_time,
            ideal_time,
            due,
            tasks[index].failures > 0,
            false,
            spec.tasks[index].needs,
            RackId(spec.tasks[index].preferred_rack),
            spec.same_rack ? static_cast<std::uint32_t>(spec.tasks.size()) : 0};
  }
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_JOB_RECORD_H_
