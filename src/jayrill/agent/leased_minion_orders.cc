#include <glog/logging.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "jayrill/agent/leased_minion.h"

namespace jayrill {

namespace {

/// Orders to start one run before the start is refused.
constexpr std::uint32_t kMaxOrderTries = 8;

/// A stopped run is looked for this much later than its stop can take.
constexpr std::chrono::milliseconds kEndCheckDelay{1};

}  // namespace

void leased_minion::SendStart(std::uint64_t id) {
  leased_run& run = runs_.at(id);
  const std::chrono::milliseconds lease = LeaseLimit();
  if (lease < settings_.report_wait) {
    // No report could renew it in time.
    run.reason = "the lease is held back by a run that is to end";
    run.cause = not_run_reason::kNoMinion;
    Finish(id, MakeResult(run, task_outcome::kNotRun), end_proof::kNotOrdered);
    return;
  }
  run.ordered_at = time_.Now();
  run.order_token = token_;
  ++run.order_tries;
  control_.Start(
      {run.name, run.call.order.payload, token_, ExtendLease(lease)},
      guard_.Wrap(
          [this, id, sent = sent_start{run.name.attempt, token_}](
              order_answer answer) { OnStartAnswer(id, sent, answer); }));
}

void leased_minion::OnStartAnswer(std::uint64_t id,
                                  const sent_start& sent,
                                  order_answer answer) {
  CheckPause();
  if (answer == order_answer::kLost) {
    FenceCalls(sent.token);
  }
  const auto found = runs_.find(id);
  if (found == runs_.end() || found->second.name.attempt != sent.attempt) {
    return;
  }
  leased_run& run = found->second;
  if (answer == order_answer::kAccepted) {
    run.has_run = true;
    run.last_report_before_start = last_serial_;
    if (run.state == run_state::kOrdered) {
      run.state = run_state::kRunning;
      run.progress_at = time_.Now();
    }
    return;
  }
  if (run.state == run_state::kRunning) {
    return;  // A report has listed the run meanwhile.
  }
  if (answer == order_answer::kLost) {
    OnOrderLost(id, run);
    return;
  }
  // All other answers mean that the minion has not started the run.
  if (run.state == run_state::kStopping) {
    Finish(id, MakeResult(run, task_outcome::kNotRun), end_proof::kRefused,
           answer);
    return;
  }
  const bool can_try_again = run.order_tries < kMaxOrderTries;
  if (answer == order_answer::kSuperseded && can_try_again) {
    // The minion does not tell the attempt that it has seen; doubling exceeds
    // it within a few tries.
    run.name.attempt = run.name.attempt * 2 + 1;
    SendStartAgain(id);
  } else if (answer == order_answer::kFenced && can_try_again) {
    OnTokenRefused(sent.token);
    SendStartAgain(id);
  } else if (answer == order_answer::kExpired && can_try_again) {
    // The estimate of the minion's clock is off; read it again first.
    clock_read_at_.reset();
    synced_ = false;
    SendStartAgain(id);
  } else {
    run.reason = answer == order_answer::kNoRoom ? "the minion has no room"
                                                 : "the minion refuses starts";
    Finish(id,
           MakeResult(run, answer == order_answer::kInvalid
                               ? task_outcome::kFailed
                               : task_outcome::kNotRun),
           end_proof::kRefused, answer);
  }
}

void leased_minion::SendStartAgain(std::uint64_t id) {
  if (synced_) {
    SendStart(id);
    return;
  }
  // The report that ends the runs of an earlier life might not list a run that
  // is ordered now.
  waiting_calls_.push_back(runs_.at(id).call);
  runs_.erase(id);
  RequestReport({});
}

void leased_minion::Stop(std::uint64_t call) {
  const auto waiting_call =
      std::find_if(waiting_calls_.begin(), waiting_calls_.end(),
                   [call](const task_call& item) { return item.id == call; });
  if (waiting_call != waiting_calls_.end()) {
    const task_call withdrawn = *waiting_call;
    waiting_calls_.erase(waiting_call);
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

void leased_minion::OnOrderLost(std::uint64_t id, leased_run& run) {
  if (run.state == run_state::kStopping) {
    return;
  }
  FenceCalls(run.order_token);
  ++lost_calls_.starts;
  OnCallLost();
  StopRun(id, "the order to start had no answer");
  if (listener_.on_order_lost) {
    listener_.on_order_lost(id);
  }
}

void leased_minion::SendStop(std::uint64_t id) {
  leased_run& run = runs_.at(id);
  ++run.stops_in_flight;
  control_.Stop(run.name, token_,
                guard_.Wrap([this, id, sent = sent_stop{life_, token_}](
                                order_answer answer) {
                  OnStopAnswer(id, sent, answer);
                }));
}

void leased_minion::OnStopAnswer(std::uint64_t id,
                                 const sent_stop& sent,
                                 order_answer answer) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    return;
  }
  leased_run& run = found->second;
  --run.stops_in_flight;
  if (answer == order_answer::kAccepted) {
    if (!run.last_report_before_stop && sent.life == life_) {
      run.last_report_before_stop = last_serial_;
      run.stop_acknowledged_at = time_.Now();
      RequestReport({});
      // IsEndDue needs a report after the stop time, and a request that waits
      // at the minion may be held back for longer.
      timers_.After(settings_.stop_time + kEndCheckDelay,
                    guard_.Wrap([this] { RequestReport({}); }));
    }
    return;
  }
  if (answer == order_answer::kFenced) {
    OnTokenRefused(sent.token);
  } else if (answer == order_answer::kLost) {
    ++lost_calls_.stops;
    OnCallLost();
  }
  // Tick sends the stop again.
}

void leased_minion::StopUnknownRun(const run_name& run) {
  if (unknown_run_log_limit_.Allows(time_.Now())) {
    LOG(WARNING) << "lease: stopping a run that this agent does not know task="
                 << run.job << "." << run.task << " attempt=" << run.attempt
                 << " life=" << life_ << " token=" << token_
                 << unknown_run_log_limit_.TakeLinesLeftOutField();
  }
  control_.Stop(run, token_,
                guard_.Wrap([this, sent_token = token_](order_answer answer) {
                  if (answer == order_answer::kFenced) {
                    OnTokenRefused(sent_token);
                  }
                }));
}

void leased_minion::SetAsideRuns() {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, run] : runs_) {
    ids.push_back(id);
  }
  AssignCrashRoles(ids);
  // The answers of the old minion are not heard any more, but no order to it
  // has an effect after the last lease.
  const steady_time now = time_.Now();
  const auto delay = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(lease_end_, now) - now);
  for (const auto& item : std::exchange(runs_, {})) {
    leased_run run = item.second;
    control_.Stop(run.name, token_, [](order_answer) {});
    run.reason = "another minion has taken its place";
    const task_result outcome = MakeResult(run, task_outcome::kInterrupted);
    timers_.After(delay, guard_.Wrap([this, run, outcome] {
      LogEnd(run, outcome, end_proof::kLeasePassed, std::nullopt);
      listener_.on_result(run.call.id, outcome);
      listener_.on_slot_free(run.call.id);
    }));
  }
}

}  // namespace jayrill
