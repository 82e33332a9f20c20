#include <utility>

#include "jayrill/entry/dispatcher.h"

namespace jayrill {

void dispatcher::OnResult(agent_session& session, const task_result& result) {
  ++counters_.results;
  const auto task = session.Take(result.number);
  if (!task) {
    ++counters_.dropped_results;
    ++counters_.wasted_messages;
    return;
  }
  session.OnOutcome(result, time_.Now());
  OnStartEnded(session, *task, result);
}

void dispatcher::OnStartsDropped(agent_handle agent,
                                 const std::vector<start_number>& numbers) {
  BeginEvent();
  agent_session* const session = agents_.Find(agent);
  if (session == nullptr) {
    return;
  }
  for (const start_number number : numbers) {
    task_result result;
    result.number = number;
    result.outcome = task_outcome::kNotRun;
    result.reason = not_run_reason::kCancelled;
    OnResult(*session, result);
  }
}

void dispatcher::OnStartEnded(agent_session& session,
                              task_ref task,
                              const task_result& end) {
  job_record* const job = jobs_.Find(task.job);
  if (job == nullptr) {
    return;
  }
  ReleaseStart(*job, task.task_index);
  if (end.outcome == task_outcome::kNotRun) {
    ++counters_.wasted_messages;
  }
  if (end.outcome != task_outcome::kNotRun) {
    agents_.Pool(job->spec.service).OnRun();
  }
  LearnRunTime(session, *job, end, task.task_index);
  const bool runs_again = MayRunAgain(*job, task.task_index, end);
  if (end.outcome == task_outcome::kFailed) {
    ++job->tasks[task.task_index].failures;
  }
  if (runs_again) {
    job->collector.OnRunEnded(task.task_index);
  } else {
    job->collector.OnResult(task.task_index, end);
  }
  if (job->decided) {
    jobs_.RemoveIfEnded(*job);
  } else if (job->collector.outcome()) {
    OnDecided(*job);
  } else if (job->is_settling) {
    job->unfinished -= end.outcome == task_outcome::kSucceeded ? 1 : 0;
    FailIfSettled(*job);
  } else if (runs_again || end.outcome == task_outcome::kNotRun) {
    RetryOrFail(*job, task.task_index, end);
  } else {
    --job->unfinished;
  }
}

bool dispatcher::MayRunAgain(const job_record& job,
                             std::uint32_t index,
                             const task_result& end) const {
  if (!job.spec.repeatable || job.decided) {
    return false;
  }
  const task_record& task = job.tasks[index];
  return (end.outcome == task_outcome::kInterrupted &&
          task.starts - task.returns < kMaxStartsPerRepeatableTask) ||
         (end.outcome == task_outcome::kFailed &&
          task.failures + 1 < ProfileOf(job.spec).attempts);
}

void dispatcher::ReleaseStart(job_record& job, std::uint32_t index) {
  job.tasks[index].number = start_number{};
  --job.outstanding;
  team_quotas_.OnEnd(job.spec.team);
  profile_quotas_.OnEnd(job.profile);
  service_pool& pool = agents_.Pool(job.spec.service);
  pool.set_needs_placement(true);
}

void dispatcher::LearnRunTime(const agent_session& session,
                              const job_record& job,
                              const task_result& result,
                              std::uint32_t index) {
  if (result.outcome != task_outcome::kSucceeded) {
    return;
  }
  const std::uint64_t minion = session.handle().value;
  const auto near_run_time =
      std::chrono::duration_cast<std::chrono::microseconds>(
          result.run_time / job.tasks[index].run_time_factor);
  speed_model_.Learn(job.spec.service, job.spec.tasks[index].kind, minion,
                     near_run_time, job.spec.tasks[index].declared);
  agents_.Pool(job.spec.service).set_has_learned_times();
  agents_.Find(session.handle())
      ->SetSlowness(speed_model_.Slowness(minion), time_.Now());
}

void dispatcher::RetryOrFail(job_record& job,
                             std::uint32_t index,
                             const task_result& result) {
  task_record& task = job.tasks[index];
  const bool is_return = result.outcome == task_outcome::kNotRun &&
                         result.reason == not_run_reason::kBusy;
  if (is_return) {
    ++task.returns;
    const steady_time now = time_.Now();
    agents_.Pool(job.spec.service).OnReturn(now);
    start_delays_[job.spec.profile].OnReturn(
        std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                              job.arrival),
        now);
  }
  const std::uint32_t max_starts =
      job.spec.repeatable ? kMaxStartsPerRepeatableTask : kMaxStartsPerTask;
  // The entry receives the newer configuration, the load of the minion or the
  // time of the agent with this result, so the next start is not refused for
  // the same reason and needs no retry budget.
  const bool needs_no_budget = is_return ||
                               result.reason == not_run_reason::kStaleConfig ||
                               result.reason == not_run_reason::kExpired;
  if (task.starts - task.returns >= max_starts ||
      (!needs_no_budget && !retry_budget_.TryTake())) {
    const std::string reason = result.message.empty()
                                   ? std::string(ToString(result.reason))
                                   : result.message;
    FailJob(job.id, {"retries_exhausted",
                     "task " + std::to_string(index) +
                         " is not retried any more: " + reason,
                     "submit again later"});
    return;
  }
  ++counters_.retries;
  agents_.Pool(job.spec.service).Push(job.spec.team, job.Queued(index));
}

void dispatcher::EndStarts(agent_session& session,
                           const std::vector<task_ref>& tasks,
                           task_outcome outcome,
                           const std::string& message) {
  task_result end;
  end.outcome = outcome;
  end.message = message;
  for (const task_ref& task : tasks) {
    OnStartEnded(session, task, end);
  }
}

void dispatcher::CloseSession(agent_session& session,
                              const std::string& message) {
  ++counters_.sessions_lost;
  const std::vector<task_ref> lost = session.Close();
  agents_.UpdatePool(session);
  EndStarts(session, lost, task_outcome::kUnknown, message);
}

}  // namespace jayrill
