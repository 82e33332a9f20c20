#include <algorithm>
#include <utility>

#include "jayrill/entry/dispatcher.h"
#include "jayrill/entry/heartbeat.h"

namespace jayrill {

void dispatcher::BeginEvent() {
  // Data that waited in the sockets may be handled before the next timer.
  if (pause_.IsPaused()) {
    pause_.Tick();
    OnPause();
  }
  ExpireJobs();
}

void dispatcher::OnPause() {
  ++counters_.pauses;
  GiveUpRepeatable();
  const steady_time now = time_.Now();
  for (const auto& [handle, session] : agents_.sessions()) {
    session->OnPause(now);
    if (config_ && session->connected()) {
      Push(*session);
      session->ExpectAcknowledgement(last_push_);
    }
  }
}

void dispatcher::GiveUpRepeatable() {
  // Their callers may have asked another entry meanwhile.
  for (const job_id id : jobs_.Repeatable()) {
    FailJob(id, {"entry_paused", "the entry was stopped for a while",
                 "submit again"});
  }
}

void dispatcher::Tick() {
  BeginEvent();
  pause_.Tick();
  CheckSessions();
  teams_.ApplyDue(time_.Now());
  if (config_) {
    CheckObstacles();
  }
  for (const agent_handle forgotten : agents_.Forget(time_.Now())) {
    speeds_.Forget(forgotten.value);
  }
}

void dispatcher::CheckSessions() {
  const steady_time now = time_.Now();
  const auto silent_limit =
      kSilentIntervals * HeartbeatInterval(open_sessions());
  const auto lost_limit =
      std::max<std::chrono::milliseconds>(kSessionLostAfter, silent_limit);
  for (const auto& [handle, session] : agents_.sessions()) {
    const bool has_starts =
        limits_.run_silence.count() > 0 && session->outstanding() > 0;
    const auto silent = has_starts ? limits_.run_silence : silent_limit;
    const auto lost = has_starts ? limits_.run_silence : lost_limit;
    const steady_time heard =
        has_starts ? session->SilentSince() : session->last_heard();
    if (session->connected() && now - heard > silent) {
      output_.Disconnect(handle);
      session->Disconnect(session->connection(), heard);
    }
    if (session->open() && !session->connected() &&
        now - session->disconnected_since() > lost) {
      LoseSession(*session, "the session with its agent was lost");
    }
  }
}

void dispatcher::CheckObstacles() {
  const steady_time now = time_.Now();
  for (auto& [service, pool] : agents_.pools()) {
    const auto since = pool.UpdateObstacle(*config_, now);
    pool.set_needs_pass(pool.waiting() > 0);
    if (!since || pool.waiting() == 0 || now - *since < kNoMinionGrace) {
      continue;
    }
    const auto reason = pool.Obstacle(*config_);
    for (const job_id id : pool.WaitingJobs()) {
      FailJob(id, *reason);
    }
  }
}

void dispatcher::ExpireJobs() {
  for (const job_id id : jobs_.Expired(time_.Now())) {
    FailJob(id, {"deadline_exceeded", "the deadline of the job has passed",
                 "submit again with a longer deadline"});
  }
}

bool dispatcher::IsSettled() const {
  const steady_time now = time_.Now();
  return now - started_ >= kAgentSettle ||
         (last_joined_ && now - *last_joined_ >= kAgentQuiet);
}

bool dispatcher::IsIsolated() const {
  return config_ && trust_.IsIsolated(*config_, time_.Now());
}

bool dispatcher::MaySend() const {
  return config_ && IsSettled() && !IsIsolated();
}

void dispatcher::Flush() {
  BeginEvent();
  if (!MaySend()) {
    return;
  }
  const steady_time now = time_.Now();
  for (auto& [service, pool] : agents_.pools()) {
    if (!pool.needs_pass() || pool.waiting() == 0) {
      continue;
    }
    pool.set_needs_pass(false);
    placer_.Run(
        pool, *config_, now,
        [this, &pool = pool](const std::string& team) {
          return MayStart(team, pool);
        },
        [this](const queued_task& task) {
          return jobs_.Find(task.job)->expected_end;
        },
        [this](const queued_task& task, agent_session& session) {
          Send(task, session);
        });
  }
  for (auto& [agent, batch] : std::exchange(outbox_, {})) {
    output_.SendStarts(agent, std::move(batch));
  }
}

bool dispatcher::MayStart(const std::string& team,
                          const service_pool& pool) const {
  const auto binding = config_->services.find(pool.service());
  const std::uint32_t profile_limit =
      config_->ProfileOf(pool.service()).limits.max_running;
  const bool profile_allows =
      binding == config_->services.end() ||
      profiles_.MayStart(binding->second.profile, profile_limit);
  const auto quota = config_->teams.find(team);
  return profile_allows && (quota == config_->teams.end() ||
                            teams_.MayStart(team, quota->second.max_running));
}

void dispatcher::Send(const queued_task& task, agent_session& session) {
  job_record& job = *jobs_.Find(task.job);
  task_record& record = job.tasks[task.index];
  const steady_time now = time_.Now();
  record.agent = session.handle();
  record.number =
      session.Send({job.id, task.index}, now, task.run_time, task.needs);
  if (++record.starts == 1) {
    retries_.OnFirstStart();
    if (!task.is_late) {
      delays_[job.spec.profile].OnStart(
          std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                                job.arrival),
          now);
    }
  }
  ++job.outstanding;
  const std::chrono::duration<double, std::micro> expected =
      task.run_time * session.Slowness(now);
  job.expected_end =
      std::max(job.expected_end,
               now + std::chrono::duration_cast<steady_duration>(expected));
  job.collector.OnStartSent(task.index);
  teams_.OnStart(job.spec.team);
  profiles_.OnStart(job.profile);
  ++counters_.starts;
  ++counters_.messages_out;
  start_batch& batch = outbox_[session.handle()];
  batch.revision = config_->revision;
  batch.epoch = session.epoch();
  const task_spec& spec = job.spec.tasks[task.index];
  start_order order;
  order.number = record.number;
  order.job = job.id;
  order.task_index = task.index;
  order.service = job.spec.service;
  order.kind = spec.kind;
  order.payload = spec.payload;
  order.job_name = job.spec.name;
  order.attempt = record.starts;
  order.needs = spec.needs;
  order.expected_run = std::chrono::ceil<std::chrono::milliseconds>(expected);
  order.remaining =
      std::chrono::floor<std::chrono::milliseconds>(job.deadline - now);
  // Agents compare the priorities of several entries, whose monotonic clocks
  // have nothing in common.
  const std::chrono::duration<double> wall_offset =
      std::chrono::duration<double>(time_.WallNow().time_since_epoch()) -
      std::chrono::duration<double>(now.time_since_epoch());
  order.priority = task_queue::Priority(task) + wall_offset.count();
  batch.starts.push_back(std::move(order));
}

}  // namespace jayrill
