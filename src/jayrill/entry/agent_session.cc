#include "jayrill/entry/agent_session.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "jayrill/placement/slow_start.h"

namespace jayrill {

namespace {

/// Time for which a minion that has refused a start gets no others. Its
/// announcement expires after 3 s; the refusals until then would use up the
/// retries.
constexpr std::chrono::milliseconds kRefusalBackoff{1000};

/// Time for which an agent whose queue was full gets no starts.
constexpr std::chrono::milliseconds kQueueFullBackoff{50};

/// A minion that announces more slots is treated as having this many.
constexpr std::uint32_t kMaxSlots = 4096;

/// A minion that reports a higher slowness is treated as having this one.
constexpr std::uint32_t kMaxSlownessPercent = 10'000;

/// Time for which a computed slowness is reused. It changes by less than 1 % in
/// that time, and each placement pass asks for the slowness of every minion.
constexpr std::chrono::milliseconds kSlownessCacheTime{100};

/// Age up to which a reported load counts in full, and the time in which it
/// then falls to 1/e. A start that meets a busy minion after all comes back at
/// once, so an old report must not keep work from a minion that may be free.
constexpr std::chrono::milliseconds kLoadTrustTime{200};
constexpr std::chrono::milliseconds kLoadDecayTime{800};

}  // namespace

std::optional<agent_session::connect_effect> agent_session::Connect(
    const agent_hello& hello,
    connection_id connection,
    steady_time now,
    bool needs_slow_start) {
  if (hello.epoch.value == 0) {
    return std::nullopt;
  }
  connect_effect effect;
  const bool process_replaced = hello_.process != hello.process;
  if (process_replaced) {
    effect.lost = Close();
    window_ = start_window();
    health_ = minion_health();
  }
  // A start number is never reused with one incarnation of the agent, even when
  // this entry has removed the session in between.
  window_.ContinueAfter(hello.last_accepted);
  auto fenced = window_.Resume(hello.epoch, hello.last_accepted);
  if (!fenced) {
    return std::nullopt;
  }
  effect.fenced = std::move(*fenced);
  const bool is_known = hello.session.value == 0 || hello.session == number_;
  if (open_ && !is_known) {
    // The agent has admitted none of its starts, so all of them were fenced.
    const std::vector<task_ref> rest = Close();
    effect.lost.insert(effect.lost.end(), rest.begin(), rest.end());
  }
  effect.resumed = open_;
  estimates_.RemoveAbove(hello.last_accepted);
  if (!open_) {
    number_ = session_number{connection.value};
    joined_ = needs_slow_start ? now : now - slow_start_;
    backoff_until_ = now;
  }
  const minion_status before = hello_.status;
  const bool was_open = open_;
  hello_ = hello;
  hello_.status = was_open ? before : hello.status;
  connection_ = connection;
  open_ = true;
  connected_ = true;
  last_heard_ = now;
  expected_push_ = 0;
  push_in_flight_ = 0;
  OnAgentTime(hello.sent, now);
  SetStatus(hello.status, now);
  effect.session = number_;
  return effect;
}

bool agent_session::Disconnect(connection_id connection, steady_time since) {
  if (!connected_ || connection != connection_) {
    return false;
  }
  connected_ = false;
  disconnected_since_ = since;
  return true;
}

std::vector<agent_session::task_ref> agent_session::Close() {
  open_ = false;
  connected_ = false;
  estimates_.RemoveAbove(start_number{});
  other_entries_load_ = 0;
  other_entries_use_ = {};
  health_.OnSessionEnd();
  return window_.Close();
}

bool agent_session::OnMessage(connection_id connection, steady_time now) {
  if (!connected_ || connection != connection_) {
    return false;
  }
  last_heard_ = now;
  return true;
}

void agent_session::SetStatus(const minion_status& status, steady_time now) {
  const minion_status& before = hello_.status;
  const bool returned = (before.draining && !status.draining) ||
                        (before.service != status.service);
  if (returned) {
    joined_ = now;
    backoff_until_ = now;
  }
  if (before.slowness_percent != status.slowness_percent) {
    cached_slowness_.reset();
  }
  // The acknowledgement of a configuration may overtake an older report, so the
  // revision must not go back.
  const config_revision revision = std::max(before.revision, status.revision);
  hello_.status = status;
  hello_.status.revision = revision;
  hello_.status.slots = std::min(status.slots, kMaxSlots);
  hello_.status.slowness_percent =
      std::min(status.slowness_percent, kMaxSlownessPercent);
  rack_ = RackId(status.rack.empty() ? hello_.rack : status.rack);
  const std::uint64_t reported_load =
      std::uint64_t{status.busy} + status.queued;
  const std::uint64_t own_starts = window_.outstanding();
  other_entries_load_ = static_cast<std::uint32_t>(std::min<std::uint64_t>(
      reported_load > own_starts ? reported_load - own_starts : 0, 1U << 30U));
  other_entries_use_ = status.used - estimates_.needs();
  status_at_ = now;
  reported_free_at_ = now + status.time_until_free;
}

double agent_session::LoadLeft(steady_time now) const {
  const std::chrono::duration<double> excess =
      now - status_at_ - kLoadTrustTime;
  const std::chrono::duration<double> decay_time = kLoadDecayTime;
  return std::exp(-std::max(excess / decay_time, 0.0));
}

void agent_session::SetInService(bool in_service, steady_time now) {
  if (in_service && !in_service_) {
    joined_ = now;
  }
  in_service_ = in_service;
}

start_number agent_session::Send(task_ref task,
                                 steady_time now,
                                 std::chrono::microseconds run_time,
                                 const resource_amount& needs) {
  if (window_.outstanding() == 0) {
    outstanding_since_ = now;
  }
  const start_number number = window_.Add(task);
  estimates_.Add(number, now, run_time * Slowness(now), needs);
  health_.OnStart(now);
  last_start_ = now;
  return number;
}

std::optional<agent_session::task_ref> agent_session::Take(
    start_number number) {
  estimates_.Remove(number);
  return window_.Take(number);
}

void agent_session::OnOutcome(const task_result& result, steady_time now) {
  // An interruption with a reason tells nothing about the minion's health.
  const bool is_inconclusive = result.outcome == task_outcome::kInterrupted &&
                               result.reason != not_run_reason::kNone;
  if (is_inconclusive) {
    health_.OnNotRun();
    return;
  }
  if (result.outcome != task_outcome::kNotRun) {
    const bool was_blocked = health_.is_blocked();
    health_.OnResult(result.outcome == task_outcome::kSucceeded, now);
    if (health_.is_blocked() != was_blocked) {
      LOG(INFO) << "health: minion of agent=" << agent_id_
                << (was_blocked ? " gets work again after a trial succeeded"
                                : " gets trial tasks only, failures=")
                << (was_blocked
                        ? ""
                        : std::to_string(minion_health::kFailuresToBlock))
                << " last=\"" << result.message << "\"";
    }
    return;
  }
  health_.OnNotRun();
  switch (result.reason) {
    case not_run_reason::kDataCentreOut:
    case not_run_reason::kDraining:
    case not_run_reason::kNoMinion:
    case not_run_reason::kPaused:
    case not_run_reason::kConnectionRefused:
    case not_run_reason::kWrongService:
    case not_run_reason::kRefused:
      backoff_until_ = now + kRefusalBackoff;
      break;
    case not_run_reason::kQueueFull:
      backoff_until_ = now + kQueueFullBackoff;
      break;
    case not_run_reason::kNone:
    case not_run_reason::kExpired:
    case not_run_reason::kCancelled:
    case not_run_reason::kBusy:         // The status shows that it has no room.
    case not_run_reason::kStaleConfig:  // IsUsable compares the revisions.
      break;
  }
}

void agent_session::OnPause(steady_time now) {
  last_heard_ = now;
  disconnected_since_ = now;
}

bool agent_session::IsUsable(config_revision revision, steady_time now) const {
  return connected_ && in_service_ && expected_push_ == 0 &&
         !hello_.status.draining && hello_.status.slots > 0 &&
         hello_.status.revision <= revision && now >= backoff_until_ &&
         health_.Permission(now) != minion_health::permission::kBlocked;
}

minion_view agent_session::View(steady_time now,
                                std::uint32_t lookahead) const {
  minion_view view;
  view.id = handle_.value;
  view.slots = hello_.status.slots;
  view.outstanding = static_cast<std::uint32_t>(window_.outstanding());
  const double load_left = LoadLeft(now);
  view.other_load =
      static_cast<std::uint32_t>(std::lround(other_entries_load_ * load_left));
  view.room = hello_.status.room;
  view.used = estimates_.needs() + other_entries_use_.Scaled(load_left);
  view.rack = rack_;
  view.slowness = Slowness(now);
  view.last_start = last_start_;
  switch (health_.Permission(now)) {
    case minion_health::permission::kAllowed: {
      const std::uint32_t limit =
          SlowStartLimit(joined_, now, view.slots, slow_start_);
      view.start_limit = limit < view.slots ? limit : view.slots + lookahead;
      break;
    }
    case minion_health::permission::kTrial:
      view.start_limit = view.outstanding + 1;
      view.is_trial_due = true;
      break;
    case minion_health::permission::kBlocked:
      break;
  }
  const bool is_nearly_full = view.room.cpu_millis > 0 &&
                              view.used.cpu_millis > view.room.cpu_millis / 2;
  if (view.Load() >= view.slots || is_nearly_full) {
    view.time_until_free = TimeUntilFree(now);
  }
  return view;
}

double agent_session::Slowness(steady_time now) const {
  if (!cached_slowness_ ||
      now - cached_slowness_->computed_at > kSlownessCacheTime) {
    cached_slowness_ = {CurrentSlowness(now), now};
  }
  return cached_slowness_->value;
}

double agent_session::CurrentSlowness(steady_time now) const {
  std::optional<slowness_sample> reported;
  if (hello_.status.slowness_percent > 0) {
    reported = {hello_.status.slowness_percent / 100.0, status_at_};
  }
  return AssumedSlowness(learned_slowness_, reported, now);
}

std::chrono::microseconds agent_session::TimeUntilFree(steady_time now) const {
  using std::chrono::microseconds;
  const std::optional<microseconds> own = estimates_.TimeUntilFirstEnd(now);
  if (other_entries_load_ == 0 || reported_free_at_ <= now) {
    return own.value_or(microseconds{0});
  }
  const auto reported =
      std::chrono::duration_cast<microseconds>(reported_free_at_ - now);
  return std::min(own.value_or(microseconds::max()), reported);
}

void agent_session::OnAcknowledgement(std::uint64_t push,
                                      config_revision revision) {
  hello_.status.revision = std::max(hello_.status.revision, revision);
  if (push >= expected_push_) {
    expected_push_ = 0;
  }
  if (push >= push_in_flight_) {
    push_in_flight_ = 0;
  }
}

agent_info agent_session::Info(steady_time now) const {
  agent_info info;
  info.id = agent_id_;
  info.data_centre = hello_.data_centre;
  info.worker = hello_.worker;
  info.rack = hello_.rack;
  info.connected = connected_;
  info.silent_for =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - last_heard_);
  info.status = hello_.status;
  info.outstanding = static_cast<std::uint32_t>(window_.outstanding());
  return info;
}

}  // namespace jayrill
