#include "jayrill/agent/leased_minion.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "jayrill/agent/internal/lease_limits.h"

namespace jayrill {

using agent::internal::kFailuresToLetLapse;

namespace {

constexpr std::chrono::milliseconds kTick{50};

/// Gap between two ticks that counts as a pause of the process. A caller that
/// has lost its entry meanwhile may have repeated its job.
constexpr std::chrono::milliseconds kRunPauseLimit{500};

/// Orders to start one run, before the start is given back.
constexpr std::uint32_t kMaxOrderTries = 8;

/// The clock of a minion may be this much slower than the agent's.
constexpr double kMinionClockError = 0.02;

/// Time for an order to be carried out that arrives just before the lease ends,
/// and for its run to be stopped.
constexpr std::chrono::milliseconds kLeaseMargin{110};

/// How long a call waits for the first report of the minion.
constexpr std::chrono::milliseconds kSyncLimit{400};

}  // namespace

leased_minion::leased_minion(lease_settings settings,
                             const clock& time,
                             scheduler& timers,
                             run_control& control,
                             listener owner)
    : settings_(settings),
      time_(time),
      timers_(timers),
      control_(control),
      listener_(std::move(owner)),
      token_(static_cast<std::uint64_t>(
          time.WallNow().time_since_epoch().count())),
      lease_end_(time.Now()),
      last_event_(time.Now()) {
  timers_.After(kTick, guard_.Wrap([this] { Tick(); }));
}

leased_minion::~leased_minion() = default;

void leased_minion::OnAnnounced(const announcement& minion) {
  const bool is_other = !minion_ || minion_->instance != minion.instance ||
                        minion_->life != minion.life ||
                        minion_->host != minion.host ||
                        minion_->port != minion.port;
  const bool is_other_life = minion_ && (minion_->life != minion.life ||
                                         minion_->instance != minion.instance);
  minion_ = minion;
  if (!is_other) {
    return;
  }
  control_.SetMinion(minion);
  if (is_other_life) {
    RaiseToken();
    life_ = minion.life;
    life_began_after_ = last_serial_;
    acknowledged_ = 0;
    acknowledgement_sent_ = 0;
  }
  synced_ = false;
  clock_read_at_.reset();
  RequestReport({});
}

void leased_minion::Run(const task_call& call) {
  CheckPause();
  // The process may have been stopped between the start gate and here.
  const bool paused = time_.Now() - call.released > kRunPauseLimit;
  if (paused || left_) {
    Refuse(call, paused ? not_run_reason::kPaused : not_run_reason::kDraining,
           paused ? "the agent was paused" : "the minion is leaving");
  } else if (failed_reports_ >= kFailuresToLetLapse) {
    // An order now would extend the time until the lease is known to be over.
    Refuse(call, not_run_reason::kNoMinion, "the minion does not answer");
  } else if (synced_) {
    Begin(call);
  } else {
    waiting_.push_back(call);
    KeepReporting();
  }
}

leased_minion::run_map::iterator leased_minion::FindTask(const run_name& task) {
  return std::find_if(runs_.begin(), runs_.end(), [&](const auto& item) {
    return item.second.name.IsSameTask(task);
  });
}

void leased_minion::Begin(const task_call& call) {
  const run_name name{call.order.job_name, call.order.task_index,
                      std::max<std::uint32_t>(call.order.attempt, 1)};
  const auto older = FindTask(name);
  if (older != runs_.end()) {
    // The caller has repeated its job; two runs of a task must not overlap.
    waiting_.push_back(call);
    StopRun(older->first, "the job was submitted again",
            not_run_reason::kCancelled);
    return;
  }
  leased_run run;
  run.call = call;
  run.name = name;
  runs_.emplace(call.id, std::move(run));
  SendStart(call.id);
  KeepReporting();
}

minion_time leased_minion::LeaseUntil() {
  const steady_time now = time_.Now();
  const auto lease =
      std::chrono::duration_cast<std::chrono::microseconds>(settings_.lease);
  lease_end_ = std::max(
      lease_end_,
      now +
          std::chrono::microseconds(static_cast<std::int64_t>(
              static_cast<double>(lease.count()) * (1 + kMinionClockError))) +
          kLeaseMargin);
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - clock_read_at_.value_or(now));
  return clock_read_ + since + settings_.lease;
}

void leased_minion::SendStart(std::uint64_t id) {
  leased_run& run = runs_.at(id);
  run.ordered_at = time_.Now();
  ++run.order_tries;
  control_.Start(
      {run.name, run.call.order.payload, token_, LeaseUntil()},
      guard_.Wrap([this, id, attempt = run.name.attempt](start_answer answer) {
        OnStartAnswer(id, attempt, answer);
      }));
}

void leased_minion::OnStartAnswer(std::uint64_t id,
                                  std::uint32_t attempt,
                                  start_answer answer) {
  CheckPause();
  const auto found = runs_.find(id);
  if (found == runs_.end() || found->second.name.attempt != attempt) {
    return;
  }
  leased_run& run = found->second;
  if (answer == start_answer::kStarted) {
    run.has_run = true;
    run.running_before = last_serial_;
    if (run.state == run_state::kOrdered) {
      run.state = run_state::kRunning;
      run.progress_at = time_.Now();
    }
    return;
  }
  if (run.state == run_state::kRunning) {
    return;  // A report has shown it meanwhile.
  }
  if (answer == start_answer::kLost) {
    StopRun(id, "the order to start had no answer");
    return;
  }
  // The minion has done nothing.
  if (run.state == run_state::kStopping) {
    Finish(id, Outcome(run, task_outcome::kNotRun));
    return;
  }
  const bool can_try_again = run.order_tries < kMaxOrderTries;
  if (answer == start_answer::kSuperseded && can_try_again) {
    run.name.attempt = run.name.attempt * 2 + 1;
    SendStart(id);
  } else if (answer == start_answer::kFenced && can_try_again) {
    RaiseToken();
    SendStart(id);
  } else if (answer == start_answer::kExpired && can_try_again) {
    clock_read_at_.reset();
    synced_ = false;
    waiting_.push_back(run.call);
    runs_.erase(found);
    RequestReport({});
  } else {
    run.reason = answer == start_answer::kNoRoom ? "the minion has no room"
                                                 : "the minion refuses starts";
    LOG(WARNING) << "lease: start refused task=" << run.name.job << "."
                 << run.name.task << " answer=" << static_cast<int>(answer)
                 << " tries=" << run.order_tries;
    Finish(id, Outcome(run, answer == start_answer::kInvalid
                                ? task_outcome::kFailed
                                : task_outcome::kNotRun));
  }
}

void leased_minion::Stop(std::uint64_t call) {
  const auto waits =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [call](const task_call& item) { return item.id == call; });
  if (waits != waiting_.end()) {
    const task_call withdrawn = *waits;
    waiting_.erase(waits);
    Refuse(withdrawn, not_run_reason::kCancelled, "cancelled");
  } else if (runs_.contains(call)) {
    StopRun(call, "cancelled", not_run_reason::kCancelled);
  }
}

void leased_minion::StopRun(std::uint64_t id,
                            const std::string& reason,
                            not_run_reason cause) {
  leased_run& run = runs_.at(id);
  if (run.state == run_state::kStopping) {
    return;
  }
  run.state = run_state::kStopping;
  run.reason = reason;
  run.cause = cause;
  SendStop(id);
}

void leased_minion::SendStop(std::uint64_t id) {
  leased_run& run = runs_.at(id);
  run.stop_in_flight = true;
  control_.Stop(run.name, token_, guard_.Wrap([this, id](start_answer answer) {
    OnStopAnswer(id, answer);
  }));
}

void leased_minion::OnStopAnswer(std::uint64_t id, start_answer answer) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    return;
  }
  found->second.stop_in_flight = false;
  if (answer == start_answer::kStarted) {
    found->second.stopped_before = last_serial_;
    found->second.stop_acknowledged_at = time_.Now();
    RequestReport({});
    return;
  }
  if (answer == start_answer::kFenced) {
    RaiseToken();
  }
  // Tick sends it again.
}

void leased_minion::StopForeign(const run_name& run) {
  VLOG(1) << "lease: stopping a run of an earlier agent task=" << run.job << "."
          << run.task;
  control_.Stop(run, token_, guard_.Wrap([this](start_answer answer) {
    if (answer == start_answer::kFenced) {
      RaiseToken();
    }
  }));
}

task_result leased_minion::Outcome(const leased_run& run,
                                   task_outcome outcome) const {
  task_result result;
  result.outcome = outcome;
  if (outcome == task_outcome::kSucceeded) {
    result.body = "null";
  } else {
    result.message = run.reason.empty() ? "the run has ended" : run.reason;
  }
  if (outcome == task_outcome::kNotRun) {
    result.reason = run.cause == not_run_reason::kNone
                        ? not_run_reason::kRefused
                        : run.cause;
  } else {
    result.reason = run.cause;
    result.run_time = std::chrono::duration_cast<std::chrono::microseconds>(
        time_.Now() - run.ordered_at);
  }
  return result;
}

void leased_minion::Finish(std::uint64_t id, task_result outcome) {
  runs_.erase(id);
  listener_.on_result(id, std::move(outcome));
  listener_.on_slot_free(id);
}

void leased_minion::Refuse(const task_call& call,
                           not_run_reason reason,
                           const std::string& message) {
  task_result result;
  result.outcome = task_outcome::kNotRun;
  result.reason = reason;
  result.message = message;
  listener_.on_result(call.id, std::move(result));
  listener_.on_slot_free(call.id);
}

void leased_minion::EndAll(const std::string& reason) {
  if (!runs_.empty()) {
    LOG(WARNING) << "lease: all runs have ended runs=" << runs_.size() << " "
                 << reason;
  }
  for (auto& [id, run] : std::exchange(runs_, {})) {
    run.reason = reason;
    listener_.on_result(id, Outcome(run, task_outcome::kInterrupted));
    listener_.on_slot_free(id);
  }
}

void leased_minion::BeginWaiting() {
  if (!synced_ || waiting_.empty()) {
    return;
  }
  for (const task_call& call : std::exchange(waiting_, {})) {
    Begin(call);
  }
}

void leased_minion::Tick() {
  timers_.After(kTick, guard_.Wrap([this] { Tick(); }));
  CheckPause();
  const steady_time now = time_.Now();
  if (!runs_.empty() && failed_reports_ >= kFailuresToLetLapse &&
      now > lease_end_) {
    EndAll("the lease has passed without an answer of the minion");
  }
  std::vector<std::uint64_t> ids;
  for (const auto& [id, run] : runs_) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    leased_run& run = runs_.at(id);
    if (run.state != run_state::kStopping && run.call.deadline <= now) {
      StopRun(id, "the deadline of the job has passed",
              not_run_reason::kExpired);
    } else if (run.state == run_state::kStopping && !run.stop_in_flight &&
               !run.stopped_before) {
      SendStop(id);
    }
  }
  for (const task_call& call : std::exchange(waiting_, {})) {
    if (call.deadline <= now || now - call.released > kSyncLimit) {
      Refuse(call, not_run_reason::kNoMinion, "the minion does not answer");
    } else {
      waiting_.push_back(call);
    }
  }
  KeepReporting();
}

void leased_minion::CheckPause() {
  const steady_time now = time_.Now();
  const bool paused = now - last_event_ > kRunPauseLimit;
  last_event_ = now;
  if (!paused || runs_.empty()) {
    return;
  }
  LOG(WARNING) << "lease: the process was paused; stopping runs="
               << runs_.size();
  std::vector<std::uint64_t> ids;
  for (const auto& [id, run] : runs_) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    StopRun(id, "the agent was paused", not_run_reason::kPaused);
  }
}

void leased_minion::RaiseToken() {
  // The minion does not say which token it has seen; the step grows until the
  // token is above, however far the clock of an earlier agent was ahead.
  constexpr std::uint64_t kFirstStep = 1000;
  constexpr std::uint32_t kMostDoublings = 30;
  token_ += kFirstStep << std::min(raises_, kMostDoublings);
  ++raises_;
  LOG(WARNING) << "lease: raising the fencing token to " << token_;
}

}  // namespace jayrill
