#include "jayrill/entry/agent_session.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "jayrill/placement/slow_start.h"

namespace jayrill {

namespace {

/// Time without starts for a minion that has refused one. Its announcement
/// expires after 3 s; the refusals until then would use up the retries.
constexpr std::chrono::milliseconds kAvoidTime{1000};

/// Time without starts for an agent whose queue was full.
constexpr std::chrono::milliseconds kQueueFullTime{50};

/// Most slots that a minion is believed to have, whatever it announces.
constexpr std::uint32_t kMaxSlots = 4096;

/// Time after which what is known of the speed of a minion counts by 1/e.
constexpr std::chrono::seconds kSlownessMemory{10};

/// Time for which a slowness is not worked out anew; it changes by less than 1
/// % meanwhile. Each pass of the placement asks for that of every minion.
constexpr std::chrono::milliseconds kSlownessStep{100};

/// A late task is assumed to need this part of its lateness again.
constexpr double kOverdueFraction = 0.25;

/// Run times of one kind differ, so a task is never expected to end within less
/// than this part of its run time. Otherwise a start would be queued behind a
/// task of several seconds as soon as that is a little late.
constexpr double kLeastRemainder = 0.1;

}  // namespace

std::optional<agent_session::connect_effect> agent_session::Connect(
    const agent_hello& hello,
    connection_id connection,
    steady_time now,
    bool ramp) {
  if (hello.epoch.value == 0) {
    return std::nullopt;
  }
  connect_effect effect;
  const bool replaced = hello_.process != hello.process;
  if (replaced) {
    effect.lost = Close();
    window_ = start_window();
    health_ = minion_health();
  }
  // Numbers are never used twice with one incarnation of the agent, even when
  // this entry has forgotten the session.
  window_.ContinueAfter(hello.last_accepted);
  auto fenced = window_.Resume(hello.epoch, hello.last_accepted);
  if (!fenced) {
    return std::nullopt;
  }
  effect.fenced = std::move(*fenced);
  effect.resumed = open_;
  ForgetStarts(hello.last_accepted);
  if (!open_) {
    joined_ = ramp ? now : now - slow_start_;
    avoid_until_ = now;
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
  SetStatus(hello.status, now);
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
  ForgetStarts(start_number{});
  other_load_ = 0;
  other_use_ = {};
  health_.OnSessionEnd();
  return window_.Close();
}

bool agent_session::Heard(connection_id connection, steady_time now) {
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
    avoid_until_ = now;
  }
  // A configuration that was acknowledged may overtake an older report.
  const config_revision revision = std::max(before.revision, status.revision);
  hello_.status = status;
  hello_.status.revision = revision;
  hello_.status.slots = std::min(status.slots, kMaxSlots);
  const std::uint64_t held = std::uint64_t{status.busy} + status.queued;
  const std::uint64_t own = window_.outstanding();
  other_load_ = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(held > own ? held - own : 0, 1U << 30U));
  other_use_ = status.used - own_use_;
  reported_free_ = now + status.expected_free;
}

void agent_session::ApplyConfig(const cluster_config& config, steady_time now) {
  const bool in_service = !config.IsOut(hello_.data_centre);
  if (in_service && !in_service_) {
    joined_ = now;
  }
  in_service_ = in_service;
}

void agent_session::ForgetStarts(start_number above) {
  const auto first = expected_ends_.upper_bound(above);
  for (auto it = first; it != expected_ends_.end(); ++it) {
    own_use_ -= it->second.needs;
  }
  expected_ends_.erase(first, expected_ends_.end());
  UpdateEarliestEnd();
}

start_number agent_session::Send(task_ref task,
                                 steady_time now,
                                 std::chrono::microseconds run_time,
                                 const resource_amount& needs) {
  if (window_.outstanding() == 0) {
    guarded_since_ = now;
  }
  const start_number number = window_.Add(task);
  const std::chrono::duration<double, std::micro> expected =
      run_time * Slowness(now);
  const expected_end ends{
      now + std::chrono::duration_cast<steady_duration>(expected),
      std::chrono::duration_cast<std::chrono::microseconds>(expected *
                                                            kLeastRemainder),
      needs};
  own_use_ += needs;
  expected_ends_.emplace_hint(expected_ends_.end(), number, ends);
  if (ends.end < earliest_end_.end) {
    earliest_end_ = ends;
  }
  health_.OnStart(now);
  last_start_ = now;
  return number;
}

std::optional<agent_session::task_ref> agent_session::Take(
    start_number number) {
  if (const auto found = expected_ends_.find(number);
      found != expected_ends_.end()) {
    own_use_ -= found->second.needs;
    expected_ends_.erase(found);
    UpdateEarliestEnd();
  }
  return window_.Take(number);
}

void agent_session::OnOutcome(const task_result& result, steady_time now) {
  const bool says_nothing = result.outcome == task_outcome::kInterrupted &&
                            result.reason != not_run_reason::kNone;
  if (says_nothing) {
    health_.OnNotRun();
    return;
  }
  if (result.outcome != task_outcome::kNotRun) {
    const bool was_closed = health_.is_closed();
    health_.OnResult(result.outcome == task_outcome::kSucceeded, now);
    if (health_.is_closed() != was_closed) {
      LOG(INFO) << "health: minion of agent=" << agent_id_
                << (was_closed ? " gets work again after a trial succeeded"
                               : " gets trial tasks only, failures=")
                << (was_closed
                        ? ""
                        : std::to_string(minion_health::kFailuresToClose))
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
      avoid_until_ = now + kAvoidTime;
      break;
    case not_run_reason::kQueueFull:
      avoid_until_ = now + kQueueFullTime;
      break;
    case not_run_reason::kNone:
    case not_run_reason::kExpired:
    case not_run_reason::kCancelled:
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
         hello_.status.revision <= revision && now >= avoid_until_ &&
         health_.Permission(now) != minion_health::permission::kClosed;
}

minion_view agent_session::View(steady_time now,
                                std::uint32_t lookahead) const {
  minion_view view;
  view.id = handle_.value;
  view.slots = hello_.status.slots;
  view.outstanding = static_cast<std::uint32_t>(window_.outstanding());
  view.other_load = other_load_;
  view.room = hello_.status.room;
  view.used = own_use_ + other_use_;
  view.slowness = Slowness(now);
  view.last_start = last_start_;
  switch (health_.Permission(now)) {
    case minion_health::permission::kOpen: {
      const std::uint32_t limit =
          now - joined_ >= slow_start_
              ? view.slots
              : SlowStartLimit(joined_, now, view.slots);
      view.start_limit = limit < view.slots ? limit : view.slots + lookahead;
      break;
    }
    case minion_health::permission::kTrial:
      view.start_limit = view.outstanding + 1;
      view.is_trial_due = true;
      break;
    case minion_health::permission::kClosed:
      break;
  }
  const bool is_nearly_full = view.room.cpu_millis > 0 &&
                              view.used.cpu_millis > view.room.cpu_millis / 2;
  if (view.Load() >= view.slots || is_nearly_full) {
    view.expected_free = ExpectedFree(now);
  }
  return view;
}

double agent_session::Slowness(steady_time now) const {
  if (!current_slowness_ || now - current_slowness_->at > kSlownessStep) {
    const std::chrono::duration<double> age = now - slowness_learned_at_;
    const std::chrono::duration<double> memory = kSlownessMemory;
    current_slowness_ = {std::pow(slowness_, std::exp(-age / memory)), now};
  }
  return current_slowness_->value;
}

std::chrono::microseconds agent_session::ExpectedFree(steady_time now) const {
  using std::chrono::microseconds;
  auto earliest = microseconds::max();
  if (earliest_end_.end != steady_time::max()) {
    earliest = earliest_end_.end >= now
                   ? std::max(std::chrono::duration_cast<microseconds>(
                                  earliest_end_.end - now),
                              earliest_end_.least)
                   : EarliestOverdue(now);
  }
  if (other_load_ > 0 && reported_free_ > now) {
    earliest = std::min(earliest, std::chrono::duration_cast<microseconds>(
                                      reported_free_ - now));
  }
  return earliest == microseconds::max() ? microseconds{0} : earliest;
}

std::chrono::microseconds agent_session::EarliestOverdue(
    steady_time now) const {
  using std::chrono::microseconds;
  auto earliest = microseconds::max();
  for (const auto& [number, ends] : expected_ends_) {
    auto left = std::chrono::duration_cast<microseconds>(ends.end - now);
    if (left.count() < 0) {
      left = microseconds(static_cast<std::int64_t>(
          static_cast<double>(-left.count()) * kOverdueFraction));
    }
    earliest = std::min(earliest, std::max(left, ends.least));
  }
  return earliest;
}

void agent_session::UpdateEarliestEnd() {
  earliest_end_ = {};
  for (const auto& [number, ends] : expected_ends_) {
    if (ends.end < earliest_end_.end) {
      earliest_end_ = ends;
    }
  }
}

void agent_session::OnAcknowledgement(std::uint64_t push,
                                      config_revision revision) {
  hello_.status.revision = std::max(hello_.status.revision, revision);
  if (push >= expected_push_) {
    expected_push_ = 0;
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
