#include <glog/logging.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "jayrill/entry/admission.h"
#include "jayrill/entry/dispatcher.h"
#include "jayrill/entry/expiry/settling.h"

namespace jayrill {

namespace {

/// Fractions of a learned or declared run time that a task is assumed to need
/// at least. A learned time is a mean, and declared times are wrong by up to
/// ten times. A job is refused only when it cannot finish even with these
/// times.
constexpr double kLearnedRunTimeFraction = 0.7;
constexpr double kDeclaredRunTimeFraction = 0.1;

/// Fraction of the latency objective within which tasks are planned to end. The
/// rest allows for messages and for estimates that are too short.
constexpr double kPlannedEndFraction = 0.8;

/// Fraction of the slack of an objective that a job may be expected to wait.
/// The slack is the objective less the run time of the longest task. A job with
/// a longer expected wait is refused.
constexpr double kMaxWaitFraction = 0.6;

/// A job expires after this multiple of its objective. An answer after three
/// times the objective is of no use to its caller; the rest allows for an
/// objective that is estimated too short.
constexpr double kMaxObjectiveFactor = 3.3;

/// A job with an objective expires this long before its deadline, so that the
/// answer reaches the caller while it still waits.
constexpr std::chrono::milliseconds kAnswerMargin{60};

/// Code of the refusal of a job whose tasks would wait too long.
constexpr char kOverloadedCode[] = "overloaded";

/// Callers that are refused together because of an overload are told to return
/// at times that differ by these steps. If all came back at once, they would
/// meet the same overload.
constexpr std::chrono::seconds kRetryStep{1};
constexpr std::uint64_t kRetrySteps = 3;

std::chrono::microseconds Scale(std::chrono::microseconds time, double factor) {
  return std::chrono::microseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

void dispatcher::Submit(job_id id, job_spec spec) {
  BeginEvent();
  ++counters_.jobs_submitted;
  if (const auto reason = Admit(spec)) {
    Refuse(id, *reason);
    return;
  }
  job_record* const job = jobs_.Add(id, std::move(spec), time_.Now());
  if (job == nullptr) {
    Refuse(id, {"duplicate_job", "the job id is in use", "use a new job id"});
    return;
  }
  if (!FailIfGivenUp(*job)) {
    Enqueue(*job);
  }
}

std::optional<refusal> dispatcher::Admit(const job_spec& spec) {
  entry_state state;
  state.draining = draining_;
  state.has_config = config_ != nullptr;
  state.isolated = IsIsolated();
  state.payload_bytes = jobs_.payload_bytes();
  for (const auto& [service, pool] : agents_.pools()) {
    state.waiting_tasks += pool.waiting();
  }
  if (auto reason = CheckEntry(state, spec)) {
    return reason;
  }
  if (auto reason = CheckLimits(ProfileOf(spec), spec)) {
    return reason;
  }
  return AdmitToService(spec);
}

std::optional<refusal> dispatcher::AdmitToService(const job_spec& spec) {
  const steady_time now = time_.Now();
  service_pool& pool = agents_.Pool(spec.service);
  const auto since = pool.UpdateUnavailableSince(*config_, now);
  if (!start_up_.IsOver(now)) {
    return CheckStartUp(spec, pool);
  }
  if (since) {
    // A minion may still announce the service within the grace period.
    auto reason = pool.UnavailableReason(*config_);
    const bool may_wait = reason && reason->code == "no_minion";
    return may_wait && now - *since < kNoMinionGracePeriod ? std::nullopt
                                                           : reason;
  }
  if (auto reason = CheckObjective(spec, pool)) {
    return reason;
  }
  const profile& job_profile = ProfileOf(spec);
  const fleet_speed fleet = ComputeFleetSpeed(pool, spec.tasks.front().needs);
  finish_estimate estimate;
  estimate.capacity = fleet.capacity;
  estimate.work = Scale(pool.RunTimeAhead(job_profile.urgency),
                        pool.has_learned_times() ? kLearnedRunTimeFraction
                                                 : kDeclaredRunTimeFraction);
  for (const task_spec& task : spec.tasks) {
    const auto bound = MinRunTime(spec, task);
    estimate.work += bound;
    estimate.longest_task = std::max(estimate.longest_task, bound);
  }
  estimate.longest_task = Scale(estimate.longest_task, 1.0 / fleet.fastest);
  return CheckDeadline(estimate, spec.deadline);
}

const profile& dispatcher::ProfileOf(const job_spec& spec) const {
  return config_->ProfileOf(spec.service, spec.profile);
}

dispatcher::fleet_speed dispatcher::ComputeFleetSpeed(
    const service_pool& pool,
    const resource_amount& needs) const {
  const profile_placement& placement =
      config_->ProfileOf(pool.service()).placement;
  fleet_speed fleet;
  for (const agent_session* minion : pool.minions()) {
    if (service_pool::Satisfies(*minion, placement) && minion->in_service() &&
        !minion->status().draining) {
      const double speed = 1.0 / minion->Slowness(time_.Now());
      fleet.capacity += minion->SlotsFor(needs) * speed;
      fleet.fastest = std::max(fleet.fastest, speed);
    }
  }
  return fleet;
}

std::chrono::microseconds dispatcher::MinRunTime(const job_spec& spec,
                                                 const task_spec& task) const {
  const auto expected =
      speed_model_.ExpectedRunTime(spec.service, task.kind, task.declared);
  return Scale(expected, speed_model_.HasSamples(spec.service, task.kind)
                             ? kLearnedRunTimeFraction
                             : kDeclaredRunTimeFraction);
}

void dispatcher::Enqueue(job_record& job) {
  const auto binding = config_->services.find(job.spec.service);
  job.profile =
      binding == config_->services.end() ? "" : binding->second.profile;
  if (!job.spec.profile.empty()) {
    job.profile = job.spec.profile;
  }
  job.urgency = ProfileOf(job.spec).urgency;
  service_pool& pool = agents_.Pool(job.spec.service);
  std::chrono::microseconds longest{};
  std::chrono::microseconds work{};
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    const task_spec& task = job.spec.tasks[i];
    const auto run_time = speed_model_.ExpectedRunTime(
        job.spec.service, task.kind, task.declared);
    job.tasks[i].run_time = run_time;
    longest = std::max(longest, run_time);
    work += run_time;
  }
  // With strategies that bind early, tasks are queued roughly in order of
  // arrival: ideal_time stays zero, so a job without an objective is due when
  // it arrives.
  if (!placer_.BindsEarly()) {
    job.ideal_time = EstimateIdealTime(
        ComputeFleetSpeed(pool, job.spec.tasks.front().needs), longest, work);
  }
  job.expected_end = job.arrival + job.ideal_time;
  SetObjective(job, longest);
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    pool.Push(job.spec.team, job.Queued(i));
  }
}

std::chrono::microseconds dispatcher::EstimateIdealTime(
    const fleet_speed& fleet,
    std::chrono::microseconds longest,
    std::chrono::microseconds work) const {
  if (fleet.capacity <= 0) {
    return longest;
  }
  return std::max(Scale(longest, 1.0 / fleet.fastest),
                  Scale(work, 1.0 / fleet.capacity));
}

std::chrono::microseconds dispatcher::LatencyObjective(
    const profile& job_profile,
    std::chrono::microseconds longest) {
  return Scale(longest, job_profile.slack_factor) + job_profile.target_latency;
}

std::optional<refusal> dispatcher::CheckStartUp(
    const job_spec& spec,
    const service_pool& pool) const {
  const profile& job_profile = ProfileOf(spec);
  const fleet_speed fleet = ComputeFleetSpeed(pool, spec.tasks.front().needs);
  if (job_profile.slack_factor <= 0 || fleet.capacity <= 0) {
    return std::nullopt;
  }
  start_up_load load;
  load.capacity = fleet.capacity;
  load.work = pool.RunTimeAhead(job_profile.urgency);
  for (const task_spec& task : spec.tasks) {
    const auto run_time =
        speed_model_.ExpectedRunTime(spec.service, task.kind, task.declared);
    load.work += run_time;
    load.longest_task = std::max(load.longest_task, run_time);
  }
  load.objective = LatencyObjective(job_profile, load.longest_task);
  load.longest_task = Scale(load.longest_task, 1.0 / fleet.fastest);
  return start_up_.Check(load);
}

std::optional<refusal> dispatcher::CheckObjective(
    const job_spec& spec,
    const service_pool& pool) const {
  const profile& job_profile = ProfileOf(spec);
  const auto found = start_delays_.find(spec.profile);
  const bool trusts_view = !pool.AreStartsReturned(time_.Now());
  if (job_profile.slack_factor <= 0 || found == start_delays_.end() ||
      (trusts_view && pool.waiting() == 0)) {
    return std::nullopt;
  }
  std::chrono::microseconds longest{};
  for (const task_spec& task : spec.tasks) {
    longest = std::max(longest, speed_model_.ExpectedRunTime(
                                    spec.service, task.kind, task.declared));
  }
  const auto delay = found->second.Expected(time_.Now());
  if (delay <= Scale(LatencyObjective(job_profile, longest) - longest,
                     kMaxWaitFraction) ||
      (trusts_view && HasFreeMinion(pool, spec.tasks.front().needs))) {
    return std::nullopt;
  }
  return refusal{kOverloadedCode,
                 "tasks of this profile wait for " +
                     std::to_string(delay.count() / 1000) +
                     " ms at present, too long for the objective",
                 "submit again after the time in Retry-After"};
}

bool dispatcher::HasFreeMinion(const service_pool& pool,
                               const resource_amount& needs) const {
  const steady_time now = time_.Now();
  return std::any_of(pool.minions().begin(), pool.minions().end(),
                     [&](const agent_session* minion) {
                       return minion->IsUsable(config_->revision, now) &&
                              minion->View(now, 0).HasFreeSlot(needs);
                     });
}

void dispatcher::SetObjective(job_record& job,
                              std::chrono::microseconds longest) {
  const profile& job_profile = ProfileOf(job.spec);
  if (job_profile.slack_factor <= 0) {
    return;
  }
  const std::chrono::microseconds objective =
      LatencyObjective(job_profile, longest);
  job.due = job.arrival + objective;
  job.expected_end = std::max(
      job.expected_end, job.arrival + Scale(objective, kPlannedEndFraction));
  jobs_.ShortenDeadline(
      job, std::min(job.deadline - kAnswerMargin,
                    job.arrival + Scale(objective, kMaxObjectiveFactor)));
  if (job.spec.repeatable) {
    jobs_.SetSettleStart(job, job.deadline - kSettleTime);
  }
}

void dispatcher::Refuse(job_id id, const refusal& reason) {
  job_failure failure{job_effect::kNotRun, reason.code, reason.message,
                      reason.remedy, reason.retry_after};
  if (reason.code == kOverloadedCode) {
    failure.retry_after += kRetryStep * (id.sequence % kRetrySteps);
  }
  ReportOutcome(id, tl::unexpected(std::move(failure)));
}

void dispatcher::Cancel(job_id id) {
  BeginEvent();
  FailJob(id, {"cancelled", "the caller has gone away", "submit a new job"});
}

void dispatcher::FailJob(job_id id, const refusal& reason) {
  job_record* const job = jobs_.Find(id);
  if (job != nullptr &&
      job->collector.Fail(reason.code, reason.message, reason.remedy)) {
    OnDecided(*job);
  }
}

void dispatcher::OnDecided(job_record& job) {
  agents_.Pool(job.spec.service).RemoveJob(job.spec.team, job.id);
  LogOpenStarts(job);
  CancelOutstanding(job);
  const job_id id = job.id;
  const job_outcome outcome = *job.collector.outcome();
  jobs_.MarkDecided(job);
  jobs_.RemoveIfEnded(job);
  ReportOutcome(id, outcome);
  CheckDrained();
}

void dispatcher::LogOpenStarts(const job_record& job) {
  const job_outcome& outcome = *job.collector.outcome();
  if (outcome || job.outstanding == 0 ||
      !open_starts_log_.Allows(time_.Now())) {
    return;
  }
  std::ostringstream starts;
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const task_record& task = job.tasks[i];
    const agent_session* const session =
        task.number.value == 0 ? nullptr : agents_.Find(task.agent);
    if (session != nullptr) {
      starts << (starts.tellp() > 0 ? "," : "") << i << "." << task.starts
             << "@" << session->agent_id();
    }
  }
  LOG(INFO) << "dispatch: failed with open starts job=" << ToString(job.id)
            << " name=" << job.spec.name << " code=" << outcome.error().code
            << " effect=" << ToString(outcome.error().effect)
            << " tasks=" << job.tasks.size() << " first_start_ms="
            << std::chrono::duration_cast<std::chrono::milliseconds>(
                   job.first_start.value_or(job.arrival) - job.arrival)
                   .count()
            << " starts=" << starts.str()
            << open_starts_log_.TakeLinesLeftOutField();
}

void dispatcher::CancelOutstanding(job_record& job) {
  if (job.outstanding == 0) {
    return;
  }
  std::map<agent_handle, std::vector<start_number>> numbers;
  for (const task_record& task : job.tasks) {
    if (task.number.value != 0) {
      numbers[task.agent].push_back(task.number);
    }
  }
  for (auto& [agent, starts] : numbers) {
    const agent_session* const session = agents_.Find(agent);
    if (session != nullptr && session->connected()) {
      counters_.messages_out += starts.size();
      output_.SendCancel(agent, std::move(starts));
    }
  }
}

void dispatcher::ReportOutcome(job_id id, const job_outcome& outcome) {
  if (outcome) {
    ++counters_.jobs_completed;
  } else {
    ++counters_.jobs_failed;
    ++counters_.failures[outcome.error().code];
  }
  output_.JobDecided(id, outcome);
}

void dispatcher::Drain(std::function<void()> drained) {
  BeginEvent();
  draining_ = true;
  drain_callbacks_.push_back(std::move(drained));
  CheckDrained();
}

void dispatcher::CheckDrained() {
  if (draining_ && jobs_.undecided() == 0) {
    for (const auto& drained : std::exchange(drain_callbacks_, {})) {
      drained();
    }
  }
}

}  // namespace jayrill
