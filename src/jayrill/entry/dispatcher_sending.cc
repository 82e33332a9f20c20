#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "jayrill/entry/dispatcher.h"
#include "jayrill/entry/expiry/settling.h"
#include "jayrill/entry/heartbeat.h"
#include "jayrill/placement/share_weight.h"

namespace jayrill {

namespace {

/// Longest expected wait at an agent. A start that would wait longer is given
/// back and goes to another minion: what the entry knew of this one was out of
/// date.
constexpr std::chrono::milliseconds kMaxAgentWaitTime{20};

/// After kManyReturns all minions are busy, and further returns would only cost
/// messages. The task may then wait for longer.
constexpr std::uint32_t kManyReturns = 4;
constexpr std::chrono::milliseconds kLongAgentWaitTime{100};

/// Agents with runs report every 200 ms. Without a report from any of them for
/// this long, the entry is cut off.
constexpr std::chrono::milliseconds kMaxReportGap{500};

refusal DeadlinePassed() {
  return {"deadline_exceeded", "the deadline of the job has passed",
          "submit again with a longer deadline"};
}

}  // namespace

void dispatcher::BeginEvent() {
  // After a pause of the process, data that has waited in the sockets may be
  // handled before the next timer, so the pause must be detected here.
  if (pause_detector_.IsPaused()) {
    pause_detector_.Tick();
    OnPause();
  }
  ExpireJobs();
}

void dispatcher::OnPause() {
  ++counters_.pauses;
  FailRepeatableJobs();
  const steady_time now = time_.Now();
  for (const auto& [handle, session] : agents_.sessions()) {
    session->OnPause(now);
    if (config_ && session->connected()) {
      PushConfig(*session);
      session->ExpectAcknowledgement(last_push_);
    }
  }
}

void dispatcher::FailRepeatableJobs() {
  // Their callers may have submitted them to another entry during the pause.
  for (const job_id id : jobs_.RepeatableJobs()) {
    FailJob(id, {"entry_paused", "the process of this entry was paused",
                 "submit again"});
  }
}

void dispatcher::Tick() {
  BeginEvent();
  pause_detector_.Tick();
  UpdateRetransmissions();
  CheckSessions();
  team_quotas_.ApplyDue(time_.Now());
  if (config_) {
    CheckServiceAvailability();
  }
  for (const agent_handle removed : agents_.RemoveStale(time_.Now())) {
    speed_model_.Forget(removed.value);
  }
}

void dispatcher::UpdateRetransmissions() {
  constexpr std::chrono::milliseconds kHeartbeatSlack{250};
  std::optional<steady_time> last_heard;
  bool has_starts = false;
  for (const auto& [handle, session] : agents_.sessions()) {
    last_heard = std::max(last_heard.value_or(session->last_heard()),
                          session->last_heard());
    has_starts = has_starts || session->outstanding() > 0;
  }
  retransmissions_.Update(
      time_.Now(), last_heard,
      has_starts ? kMaxReportGap
                 : HeartbeatInterval(open_sessions()) + kHeartbeatSlack);
}

void dispatcher::CheckSessions() {
  const steady_time now = time_.Now();
  const auto silent_limit =
      kMaxMissedHeartbeats * HeartbeatInterval(open_sessions());
  const auto lost_limit =
      std::max<std::chrono::milliseconds>(kSessionLostAfter, silent_limit);
  for (const auto& [handle, session] : agents_.sessions()) {
    const bool has_starts =
        limits_.silence_timeout.count() > 0 && session->outstanding() > 0;
    const auto disconnect_after =
        has_starts ? limits_.silence_timeout : silent_limit;
    const auto close_after = has_starts ? limits_.silence_timeout : lost_limit;
    const steady_time silent_since =
        has_starts ? session->SilentSince() : session->last_heard();
    if (session->connected() && now - silent_since > disconnect_after) {
      output_.Disconnect(handle);
      session->Disconnect(session->connection(), silent_since);
    }
    if (session->open() && !session->connected() &&
        now - session->disconnected_since() > close_after) {
      CloseSession(*session, "the session with its agent was lost");
    }
  }
}

void dispatcher::CheckServiceAvailability() {
  const steady_time now = time_.Now();
  for (auto& [service, pool] : agents_.pools()) {
    const auto since = pool.UpdateUnavailableSince(*config_, now);
    // The end of a backoff or of a trial delay may allow a placement without
    // any event, so every tick attempts one.
    pool.set_needs_placement(pool.waiting() > 0);
    if (!since || pool.waiting() == 0 || now - *since < kNoMinionGracePeriod) {
      continue;
    }
    const auto reason = pool.UnavailableReason(*config_);
    for (const job_id id : pool.WaitingJobs()) {
      FailJob(id, *reason);
    }
  }
}

void dispatcher::ExpireJobs() {
  SettleJobs();
  for (const job_id id : jobs_.ExpiredJobs(time_.Now())) {
    const job_record& job = *jobs_.Find(id);
    counters_.settled_too_late += job.is_settling ? 1 : 0;
    FailJob(id, DeadlinePassed());
  }
}

void dispatcher::SettleJobs() {
  for (const job_id id : jobs_.TakeJobsToSettle(time_.Now())) {
    job_record& job = *jobs_.Find(id);
    settle_state state;
    state.arrival = job.arrival;
    state.deadline = job.deadline;
    state.objective = std::chrono::duration_cast<std::chrono::microseconds>(
        job.due - job.arrival);
    state.has_run = job.collector.HasRun();
    state.is_started = job.IsStarted();
    if (!ShouldSettle(state)) {
      continue;
    }
    job.is_settling = true;
    agents_.Pool(job.spec.service).RemoveJob(job.spec.team, id);
    CancelOutstanding(job);
    FailIfSettled(job);
  }
}

void dispatcher::FailIfSettled(job_record& job) {
  if (!job.is_settling || job.outstanding > 0) {
    return;
  }
  ++counters_.settled_in_time;
  FailJob(job.id, DeadlinePassed());
}

void dispatcher::OnStartUpEnded() {
  is_start_up_over_ = true;
  std::size_t waiting = 0;
  for (const auto& [service, pool] : agents_.pools()) {
    waiting += pool.waiting();
  }
  const auto refused = counters_.failures.find(kStartingCode);
  counters_.start_up_wait = start_up_.Duration();
  LOG(INFO) << "dispatch: the wait for agents is over after_ms="
            << counters_.start_up_wait.count()
            << " agents=" << agents_.connected()
            << " jobs=" << jobs_.undecided() << " waiting_tasks=" << waiting
            << " starts=" << counters_.starts << " refused="
            << (refused == counters_.failures.end() ? 0 : refused->second);
}

bool dispatcher::IsDue(const queued_task& task, steady_time now) const {
  return start_up_.IsOver(now) || (task.due != steady_time{} &&
                                   start_up_.IsDue(task.due - task.run_time));
}

bool dispatcher::IsIsolated() const {
  return config_ && isolation_detector_.IsIsolated(*config_, time_.Now());
}

bool dispatcher::MaySend() const {
  return config_ && !IsIsolated();
}

void dispatcher::RepeatCancels() {
  for (const agent_handle handle : std::exchange(cancels_due_, {})) {
    const agent_session* const session = agents_.Find(handle);
    if (session == nullptr || !session->connected()) {
      continue;
    }
    std::vector<start_number> numbers;
    for (const auto& [number, task] : session->outstanding_starts()) {
      const job_record* const job = jobs_.Find(task.job);
      if (job != nullptr && job->decided) {
        numbers.push_back(number);
      }
    }
    if (!numbers.empty()) {
      counters_.messages_out += numbers.size();
      output_.SendCancel(handle, std::move(numbers));
    }
  }
}

void dispatcher::Flush() {
  BeginEvent();
  RepeatCancels();
  if (!MaySend()) {
    return;
  }
  const steady_time now = time_.Now();
  if (!is_start_up_over_ && start_up_.IsOver(now)) {
    OnStartUpEnded();
  }
  for (auto& [service, pool] : agents_.pools()) {
    if (!pool.needs_placement() || pool.waiting() == 0) {
      continue;
    }
    pool.set_needs_placement(false);
    placer_.PlaceTasks(
        pool, *config_, now,
        [this, &pool = pool](const std::string& team) {
          return MayStart(team, pool);
        },
        [this, now](const queued_task& task) { return IsDue(task, now); },
        [this](const queued_task& task) {
          return jobs_.Find(task.job)->expected_end;
        },
        [this](const queued_task& task, agent_session& session,
               const task_placer::start_place& place) {
          QueueStart(task, session, place);
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
      profile_quotas_.MayStart(binding->second.profile, profile_limit);
  const auto quota = config_->teams.find(team);
  return profile_allows &&
         (quota == config_->teams.end() ||
          team_quotas_.MayStart(team, quota->second.max_running));
}

void dispatcher::CountNearStart(const job_record& job,
                                const task_placer::start_place& place) {
  near_counters& counters = counters_.near[job.profile];
  counters.far_starts += place.run_time_factor > 1 ? 1 : 0;
  if (!place.near_wait) {
    return;
  }
  const near_wait_end& wait = *place.near_wait;
  ++(wait.has_paid ? counters.waits_paid : counters.waits_unpaid);
  counters.waited += wait.waited;
  if (near_wait_log_.Allows(time_.Now())) {
    LOG(INFO) << "dispatch: waited for a near place profile=" << job.profile
              << " waited_ms=" << wait.waited.count() / 1000
              << " near=" << wait.is_near << " paid=" << wait.has_paid
              << near_wait_log_.TakeLinesLeftOutField();
  }
}

void dispatcher::QueueStart(const queued_task& task,
                            agent_session& session,
                            const task_placer::start_place& place) {
  job_record& job = *jobs_.Find(task.job);
  task_record& record = job.tasks[task.index];
  const steady_time now = time_.Now();
  job.first_start = job.first_start.value_or(now);
  record.agent = session.handle();
  record.run_time_factor = place.run_time_factor;
  const auto run_time = std::chrono::duration_cast<std::chrono::microseconds>(
      task.run_time * place.run_time_factor);
  record.number = session.Send({job.id, task.index}, now, run_time, task.needs);
  if (place.run_time_factor > 1 || place.near_wait) {
    CountNearStart(job, place);
  }
  if (++record.starts == 1) {
    retry_budget_.OnFirstStart();
    // While minions give starts back, a start does not show that the wait is
    // over.
    // While agents connect, it says nothing about the load.
    const bool ends_wait =
        start_up_.IsOver(now) &&
        !agents_.Pool(job.spec.service).AreStartsReturned(now);
    if (ends_wait && !task.is_late) {
      start_delays_[job.spec.profile].OnStart(
          std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                                job.arrival),
          now);
    }
  }
  ++job.outstanding;
  const std::chrono::duration<double, std::micro> expected =
      run_time * session.Slowness(now);
  job.expected_end =
      std::max(job.expected_end,
               now + std::chrono::duration_cast<steady_duration>(expected));
  job.collector.OnStartSent(task.index);
  team_quotas_.OnStart(job.spec.team);
  profile_quotas_.OnStart(job.profile);
  ++counters_.starts;
  ++counters_.messages_out;
  const auto [outgoing, is_new] = outbox_.try_emplace(session.handle());
  start_batch& batch = outgoing->second;
  if (is_new) {
    batch.agent_time = session.AgentTime(now);
  }
  batch.revision = config_->revision;
  batch.epoch = session.epoch();
  const task_spec& spec = job.spec.tasks[task.index];
  start_request request;
  request.number = record.number;
  request.job = job.id;
  request.task_index = task.index;
  request.service = job.spec.service;
  request.kind = spec.kind;
  request.payload = spec.payload;
  request.job_name = job.spec.name;
  request.attempt = record.starts;
  request.needs = spec.needs;
  request.expected_run = std::chrono::ceil<std::chrono::milliseconds>(expected);
  request.typical_run = std::chrono::ceil<std::chrono::milliseconds>(run_time);
  request.profile = job.profile;
  request.share_weight = ShareWeight(job.urgency);
  if (!placer_.BindsEarly()) {
    request.max_wait =
        record.returns < kManyReturns ? kMaxAgentWaitTime : kLongAgentWaitTime;
  }
  request.remaining =
      std::chrono::floor<std::chrono::milliseconds>(job.deadline - now);
  // Agents compare the priorities of starts from several entries. Monotonic
  // clocks of different processes can't be compared, so wall time is used.
  const std::chrono::duration<double> wall_offset =
      std::chrono::duration<double>(time_.WallNow().time_since_epoch()) -
      std::chrono::duration<double>(now.time_since_epoch());
  request.priority = task_queue::Priority(task) + wall_offset.count();
  batch.starts.push_back(std::move(request));
}

}  // namespace jayrill
