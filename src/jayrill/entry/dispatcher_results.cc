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
  EndTask(session, *task, result);
}

void dispatcher::EndTask(agent_session& session,
                         task_ref task,
                         const task_result& end) {
  job_record* const job = jobs_.Find(task.job);
  if (job == nullptr) {
    return;
  }
  EndStart(*job, task.task_index);
  if (end.outcome == task_outcome::kNotRun) {
    ++counters_.wasted_messages;
  }
  Learn(session, *job, end, task.task_index);
  const bool repeat = MayRepeat(*job, task.task_index, end);
  if (end.outcome == task_outcome::kFailed) {
    ++job->tasks[task.task_index].failures;
  }
  if (repeat) {
    job->collector.OnRunEnded(task.task_index);
  } else {
    job->collector.OnResult(task.task_index, end);
  }
  if (job->decided) {
    jobs_.RemoveIfEnded(*job);
  } else if (job->collector.outcome()) {
    OnDecided(*job);
  } else if (repeat || end.outcome == task_outcome::kNotRun) {
    Retry(*job, task.task_index, end);
  } else {
    --job->unfinished;
  }
}

bool dispatcher::MayRepeat(const job_record& job,
                           std::uint32_t index,
                           const task_result& end) const {
  if (!job.spec.repeatable || job.decided) {
    return false;
  }
  const task_record& task = job.tasks[index];
  return (end.outcome == task_outcome::kInterrupted &&
          task.starts < kMaxStartsOfRepeatable) ||
         (end.outcome == task_outcome::kFailed &&
          task.failures + 1 < ProfileOf(job.spec).attempts);
}

void dispatcher::EndStart(job_record& job, std::uint32_t index) {
  job.tasks[index].number = start_number{};
  --job.outstanding;
  teams_.OnEnd(job.spec.team);
  profiles_.OnEnd(job.profile);
  service_pool& pool = agents_.Pool(job.spec.service);
  pool.set_needs_pass(true);
}

void dispatcher::Learn(const agent_session& session,
                       const job_record& job,
                       const task_result& result,
                       std::uint32_t index) {
  if (result.outcome != task_outcome::kSucceeded) {
    return;
  }
  const std::uint64_t minion = session.handle().value;
  speeds_.Learn(job.spec.service, job.spec.tasks[index].kind, minion,
                result.run_time, job.spec.tasks[index].declared);
  agents_.Pool(job.spec.service).set_has_learned_times();
  agents_.Find(session.handle())
      ->SetSlowness(speeds_.Slowness(minion), time_.Now());
}

void dispatcher::Retry(job_record& job,
                       std::uint32_t index,
                       const task_result& result) {
  const task_record& task = job.tasks[index];
  const std::uint32_t most =
      job.spec.repeatable ? kMaxStartsOfRepeatable : kMaxStartsPerTask;
  // The entry has the newer configuration with this result, so the next start
  // is not refused for the same reason.
  const bool is_free = result.reason == not_run_reason::kStaleConfig;
  if (task.starts >= most || (!is_free && !retries_.TryTake())) {
    const std::string reason = result.message.empty()
                                   ? std::string(ToString(result.reason))
                                   : result.message;
    FailJob(job.id, {"retries_exhausted",
                     "task " + std::to_string(index) +
                         " was refused too often: " + reason,
                     "submit again later"});
    return;
  }
  ++counters_.retries;
  agents_.Pool(job.spec.service).Push(job.spec.team, job.Queued(index));
}

void dispatcher::EndAll(agent_session& session,
                        const std::vector<task_ref>& tasks,
                        task_outcome outcome,
                        const std::string& message) {
  task_result end;
  end.outcome = outcome;
  end.message = message;
  for (const task_ref& task : tasks) {
    EndTask(session, task, end);
  }
}

void dispatcher::LoseSession(agent_session& session,
                             const std::string& message) {
  ++counters_.sessions_lost;
  const std::vector<task_ref> lost = session.Close();
  agents_.UpdatePool(session);
  EndAll(session, lost, task_outcome::kUnknown, message);
}

}  // namespace jayrill
