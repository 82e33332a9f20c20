#include "jayrill/agent/leased_minion.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "jayrill/agent/internal/lease_limits.h"

namespace jayrill {

using agent::internal::kMaxRenewalFailures;
using agent::internal::kReportRetryDelay;

namespace {

constexpr std::chrono::milliseconds kTickInterval{50};

/// The process counts as paused when two events are further apart than this. A
/// caller that lost its connection to the entry meanwhile may have submitted
/// its job again.
constexpr std::chrono::milliseconds kRunPauseLimit{500};

/// Copies of one stop that may wait for an answer. While none is answered, a
/// copy is sent at each tick: the lease of all runs is not renewed until the
/// run has ended.
constexpr std::uint32_t kMaxStopsInFlight = 4;

/// The clock of a minion may run slower than the agent's by this fraction.
constexpr double kMinionClockError = 0.02;

/// Longest time since the last reading of the minion's clock at which a call is
/// ordered on an idle minion. The lease is shorter by kMinionClockError of it.
constexpr std::chrono::seconds kMaxClockAge{1};

/// Time for an order that arrives just before the lease ends to be carried out,
/// and for its run to be stopped after that.
constexpr std::chrono::milliseconds kLeaseMargin{110};

/// For how long a minion that does not answer is asked who it is. Shorter than
/// the time between two announcements of one minion.
constexpr std::chrono::milliseconds kIdentifyLimit{1200};

/// Longest wait of a call for the first report of the minion or for the end of
/// an older run of its task.
constexpr std::chrono::milliseconds kSyncLimit{400};

}  // namespace

leased_minion::leased_minion(lease_settings settings,
                             const clock& time,
                             scheduler& timers,
                             run_control& control,
                             listener outcome_listener)
    : settings_(settings),
      time_(time),
      timers_(timers),
      control_(control),
      listener_(std::move(outcome_listener)),
      token_(static_cast<std::uint64_t>(
          time.WallNow().time_since_epoch().count())),
      lease_end_(time.Now()),
      last_event_at_(time.Now()) {
  timers_.After(kTickInterval, guard_.Wrap([this] { Tick(); }));
}

leased_minion::~leased_minion() = default;

void leased_minion::Identify(const announcement& minion,
                             const std::function<void(identity_answer)>& done) {
  IdentifyUntil(minion, time_.Now() + kIdentifyLimit, done);
}

void leased_minion::IdentifyUntil(
    const announcement& minion,
    steady_time give_up_at,
    const std::function<void(identity_answer)>& done) {
  control_.Identify(
      minion, token_,
      guard_.Wrap([this, minion, give_up_at, done,
                   sent_token = token_](const result<identity_answer>& answer) {
        if (!answer && answer.error().kind == error_kind::kConflict) {
          OnTokenRefused(sent_token);
        }
        const identity_answer identity =
            answer.value_or(identity_answer::kUnknown);
        if (identity != identity_answer::kUnknown ||
            time_.Now() >= give_up_at) {
          done(identity);
          return;
        }
        timers_.After(kReportRetryDelay,
                      guard_.Wrap([this, minion, give_up_at, done] {
                        IdentifyUntil(minion, give_up_at, done);
                      }));
      }));
}

void leased_minion::OnAnnounced(const announcement& minion) {
  const bool has_moved =
      minion_ && (minion_->host != minion.host || minion_->port != minion.port);
  const bool has_changed = !minion_ || has_moved ||
                           minion_->instance != minion.instance ||
                           minion_->life != minion.life;
  const bool has_restarted = minion_ && (minion_->life != minion.life ||
                                         minion_->instance != minion.instance);
  minion_ = minion;
  is_end_announced_ = is_end_announced_ || (minion.draining && !has_restarted);
  if (!has_changed) {
    if (failed_reports_ >= kMaxRenewalFailures) {
      // Without runs nothing else would notice that it answers again.
      RequestReport({});
    }
    return;
  }
  if (has_restarted && has_moved) {
    SetAsideRuns();
  }
  control_.SetMinion(minion);
  if (has_restarted) {
    FenceCalls(token_);
    life_ = minion.life;
    last_report_before_life_ = last_serial_;
    acknowledged_ = 0;
    acknowledgement_sent_ = 0;
  }
  synced_ = false;
  clock_read_at_.reset();
  RequestReport({});
}

void leased_minion::Run(const task_call& call) {
  CheckPause();
  // The process may have been paused since the agent core released the call on
  // another thread.
  const bool paused = time_.Now() - call.released > kRunPauseLimit;
  if (paused || minion_left_) {
    Refuse(call, paused ? not_run_reason::kPaused : not_run_reason::kDraining,
           paused ? "the agent was paused" : "the minion is leaving");
  } else if (failed_reports_ >= kMaxRenewalFailures) {
    // An order now would extend the lease and so delay the time at which the
    // runs of an unreachable minion count as ended.
    Refuse(call, not_run_reason::kNoMinion, "the minion does not answer");
  } else if (synced_ && (!runs_.empty() || IsClockCurrent())) {
    BeginRun(call);
  } else {
    waiting_calls_.push_back(call);
    RequestReportIfNeeded();
  }
}

leased_minion::run_map::iterator leased_minion::FindRunOfTask(
    const run_name& task) {
  return std::find_if(runs_.begin(), runs_.end(), [&](const auto& item) {
    return item.second.name.IsSameTask(task);
  });
}

void leased_minion::BeginRun(const task_call& call) {
  const run_name name{call.order.job_name, call.order.task_index,
                      std::max<std::uint32_t>(call.order.attempt, 1)};
  const auto older_run = FindRunOfTask(name);
  if (older_run != runs_.end()) {
    // The caller has submitted its job again; two runs of a task must not
    // overlap.
    waiting_calls_.push_back(call);
    StopRun(older_run->first, "the job was submitted again",
            not_run_reason::kCancelled);
    return;
  }
  leased_run run;
  run.call = call;
  run.name = name;
  runs_.emplace(call.id, std::move(run));
  SendStart(call.id);
  RequestReportIfNeeded();
}

bool leased_minion::BoundsLease(const leased_run& run) const {
  // An acknowledged stop ends the run within lease_settings::stop_time.
  return run.call.guard && !run.last_report_before_stop;
}

std::chrono::milliseconds leased_minion::LeaseLimit() const {
  const steady_time now = time_.Now();
  steady_time end = now + settings_.lease;
  if (settings_.unawaited_limit.count() > 0) {
    if (has_unknown_run_) {
      return {};  // Nobody is known to wait for it.
    }
    for (const auto& [id, run] : runs_) {
      if (BoundsLease(run)) {
        end = std::min(
            end, run.call.guard->awaited_at() + settings_.unawaited_limit);
      }
    }
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(end, now) - now);
}

minion_time leased_minion::ExtendLease(std::chrono::milliseconds lease) {
  const steady_time now = time_.Now();
  const std::chrono::duration<double, std::milli> longest =
      (1 + kMinionClockError) * lease;
  lease_end_ = std::max(
      lease_end_, now + std::chrono::duration_cast<steady_duration>(longest) +
                      kLeaseMargin);
  // The least that the minion's clock can show now.
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
      (1 - kMinionClockError) * (now - clock_read_at_.value_or(now)));
  return clock_read_ + since + lease;
}

bool leased_minion::IsClockCurrent() const {
  return clock_read_at_ && time_.Now() - *clock_read_at_ <= kMaxClockAge;
}

void leased_minion::BeginWaitingCalls() {
  if (!synced_ || waiting_calls_.empty()) {
    return;
  }
  for (const task_call& call : std::exchange(waiting_calls_, {})) {
    BeginRun(call);
  }
}

void leased_minion::Tick() {
  timers_.After(kTickInterval, guard_.Wrap([this] { Tick(); }));
  CheckPause();
  const steady_time now = time_.Now();
  if (!runs_.empty() && failed_reports_ >= kMaxRenewalFailures &&
      now > lease_end_) {
    InterruptConfirmedRuns(
        "the lease has expired without an answer from the minion");
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
    } else if (run.state == run_state::kStopping &&
               run.stops_in_flight < kMaxStopsInFlight &&
               !run.last_report_before_stop) {
      SendStop(id);
    }
  }
  for (const task_call& call : std::exchange(waiting_calls_, {})) {
    if (call.deadline <= now || now - call.released > kSyncLimit) {
      Refuse(call, not_run_reason::kNoMinion, "the minion does not answer");
    } else {
      waiting_calls_.push_back(call);
    }
  }
  RequestReportIfNeeded();
}

void leased_minion::CheckPause() {
  const steady_time now = time_.Now();
  const bool paused = now - last_event_at_ > kRunPauseLimit;
  last_event_at_ = now;
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
  // The first token is the wall-clock time, and the minion does not tell the
  // highest token that it has seen. The step doubles until the token is above
  // that one, however far the clock of an earlier agent was ahead.
  constexpr std::uint64_t kFirstStep = 1000;
  constexpr std::uint32_t kMaxDoublings = 30;
  token_ += kFirstStep << std::min(token_raises_, kMaxDoublings);
  ++token_raises_;
  LOG(WARNING) << "lease: raising the fencing token to " << token_;
}

void leased_minion::OnTokenRefused(std::uint64_t sent_token) {
  if (sent_token == token_) {
    RaiseToken();
  }
}

void leased_minion::FenceCalls(std::uint64_t sent_token) {
  token_ = std::max(token_, sent_token + 1);
}

void leased_minion::OnCallLost() {
  const steady_time now = time_.Now();
  if (!requests_.IsLossy(now)) {
    LOG(WARNING) << "lease: a call to the minion had no answer; requests for "
                    "reports overlap lost_starts="
                 << lost_calls_.starts << " lost_stops=" << lost_calls_.stops
                 << " lost_reports=" << lost_calls_.reports
                 << " runs=" << runs_.size();
  }
  requests_.OnLoss(now);
}

}  // namespace jayrill
