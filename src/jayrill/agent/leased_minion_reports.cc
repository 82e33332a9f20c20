#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "jayrill/agent/internal/lease_limits.h"
#include "jayrill/agent/leased_minion.h"

namespace jayrill {

using agent::internal::kMaxRenewalFailures;
using agent::internal::kReportRetryDelay;

namespace {

/// An order counts as overdue when a report that was requested this much later
/// does not list its run. Both go to the minion on the same machine, over
/// different connections.
constexpr std::chrono::milliseconds kOrderGrace{20};

}  // namespace

void leased_minion::RequestReportIfNeeded() {
  if (!minion_ || retry_scheduled_ || !requests_.IsDue(time_.Now())) {
    return;
  }
  if (!runs_.empty()) {
    RequestReport(settings_.report_wait);
  } else if (!synced_ || !waiting_calls_.empty() ||
             acknowledged_ > acknowledgement_sent_) {
    RequestReport({});
  }
}

void leased_minion::RequestReport(std::chrono::milliseconds wait) {
  const steady_time now = time_.Now();
  if (!minion_ || !requests_.MayAdd(now)) {
    return;
  }
  renewal request;
  request.fencing_token = token_;
  request.acknowledged = acknowledged_;
  request.wait = wait;
  if (clock_read_at_ && !runs_.empty() &&
      failed_reports_ < kMaxRenewalFailures) {
    const std::chrono::milliseconds lease = LeaseLimit();
    if (lease.count() > 0) {
      request.lease_until = ExtendLease(lease);
    }
    const bool is_held_back = lease.count() == 0;
    if (is_held_back && !is_lease_held_back_) {
      LOG(WARNING)
          << "lease: not renewed, because a run that is to end has not "
             "ended runs="
          << runs_.size();
    }
    is_lease_held_back_ = is_held_back;
  }
  const sent_renewal sent{++last_serial_, token_, acknowledged_, now};
  requests_.OnSent(sent.serial, now);
  if (requests_.IsLossy(now)) {
    timers_.After(report_requests::kOverlapInterval,
                  guard_.Wrap([this] { RequestReportIfNeeded(); }));
  }
  control_.Renew(request,
                 guard_.Wrap([this, sent](const result<run_report>& answer) {
                   requests_.OnEnded(sent.serial);
                   CheckPause();
                   OnReport(sent, answer);
                   RequestReportIfNeeded();
                 }));
}

void leased_minion::OnReport(const sent_renewal& sent,
                             const result<run_report>& answer) {
  if (!answer) {
    OnReportFailed(sent.token, answer.error());
    return;
  }
  last_report_requested_at_ = sent.at;
  if (answer->life == life_) {
    acknowledgement_sent_ = std::max(acknowledgement_sent_, sent.acknowledged);
  }
  failed_reports_ = 0;
  if (answer->life < std::max(life_, minion_->life)) {
    return;  // The minion has restarted since it sent this report.
  }
  if (!AdoptLife(sent.serial, *answer)) {
    RequestReport({});
    return;
  }
  ProcessEndedRuns(*answer);
  if (clock_read_at_ && answer->clock < clock_read_) {
    return;  // A newer report has overtaken it.
  }
  clock_read_ = answer->clock;
  clock_read_at_ = time_.Now();
  ProcessRunningRuns(sent, *answer);
  first_failure_at_.reset();
  BeginWaitingCalls();
}

void leased_minion::OnReportFailed(std::uint64_t sent_token,
                                   const error& failure) {
  ++failed_reports_;
  first_failure_at_ = first_failure_at_.value_or(time_.Now());
  is_unreachable_ = failure.kind == error_kind::kUnavailable;
  if (failure.kind == error_kind::kConflict) {
    OnTokenRefused(sent_token);
    failed_reports_ = 0;
  } else if (!is_unreachable_) {
    FenceCalls(sent_token);
    ++lost_calls_.reports;
    OnCallLost();
  }
  if (failed_reports_ == kMaxRenewalFailures) {
    LOG(WARNING) << "lease: the minion does not answer runs=" << runs_.size()
                 << " " << failure.message;
  }
  retry_scheduled_ = true;
  timers_.After(kReportRetryDelay, guard_.Wrap([this] {
    retry_scheduled_ = false;
    RequestReportIfNeeded();
  }));
}

bool leased_minion::AdoptLife(std::uint64_t serial, const run_report& report) {
  if (report.life != life_) {
    if (life_ != 0) {
      FenceCalls(token_);
      last_report_before_life_ = last_serial_;
    }
    life_ = report.life;
    acknowledged_ = 0;
    acknowledgement_sent_ = 0;
    synced_ = false;
    clock_read_at_.reset();
  }
  if (!last_report_before_life_) {
    return true;
  }
  if (serial <= *last_report_before_life_) {
    return false;
  }
  last_report_before_life_.reset();
  std::set<run_name> present;
  for (const active_run& active : report.running) {
    present.insert(active.run);
  }
  std::vector<std::uint64_t> ended;
  for (auto& [id, run] : runs_) {
    if (!present.contains(run.name)) {
      run.reason = "the minion has restarted";
      ended.push_back(id);
    } else {
      run.last_report_before_stop.reset();  // That stop has gone with its life.
    }
  }
  AssignCrashRoles(ended);
  is_end_announced_ = minion_->draining;
  LOG(WARNING) << "lease: the minion has restarted life=" << life_
               << " runs_ended=" << ended.size();
  for (const std::uint64_t id : ended) {
    Finish(id, MakeResult(runs_.at(id), task_outcome::kInterrupted),
           end_proof::kRestarted);
  }
  return true;
}

void leased_minion::ProcessEndedRuns(const run_report& report) {
  for (const ended_run& end : report.ended) {
    if (end.sequence <= acknowledged_) {
      continue;
    }
    acknowledged_ = end.sequence;
    const auto found = FindRunOfTask(end.run);
    if (found == runs_.end() || found->second.name != end.run) {
      continue;
    }
    leased_run& run = found->second;
    run.has_run = true;
    switch (end.how) {
      case run_end::kDone:
        Finish(found->first, MakeResult(run, task_outcome::kSucceeded),
               end_proof::kEndListed);
        break;
      case run_end::kFailed:
        run.reason = "the run failed";
        Finish(found->first, MakeResult(run, task_outcome::kFailed),
               end_proof::kEndListed);
        break;
      case run_end::kLapsed:
        run.reason = "the lease of the run has expired";
        Finish(found->first, MakeResult(run, task_outcome::kInterrupted),
               end_proof::kEndListed);
        break;
      case run_end::kStopped:
        Finish(found->first, MakeResult(run, task_outcome::kInterrupted),
               end_proof::kEndListed);
        break;
    }
  }
}

void leased_minion::ProcessRunningRuns(const sent_renewal& sent,
                                       const run_report& report) {
  bool has_unknown = false;
  std::set<std::uint64_t> present;
  for (const active_run& active : report.running) {
    const auto found = FindRunOfTask(active.run);
    if (found == runs_.end() || found->second.name != active.run) {
      has_unknown = true;
      StopUnknownRun(active.run);
      continue;
    }
    present.insert(found->first);
    found->second.has_run = true;
    if (found->second.state == run_state::kOrdered) {
      found->second.state = run_state::kRunning;
      found->second.progress_at = time_.Now();
    }
    ReopenStop(found->second, sent.serial);
    CheckProgress(found->first, active.percent);
  }
  std::vector<std::uint64_t> missing;
  for (const auto& [id, run] : runs_) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::uint64_t id : missing) {
    OnRunNotListed(sent, id);
  }
  // Once no run of an earlier agent is left, only this agent starts runs. A run
  // that is being stopped is not listed but still needs its room.
  const steady_time now = time_.Now();
  has_unknown_run_ = has_unknown;
  if (has_unknown) {
    unknown_runs_end_at_ = steady_time::max();
  } else if (unknown_runs_end_at_ == steady_time::max()) {
    unknown_runs_end_at_ = now + settings_.stop_time;
  }
  synced_ = synced_ || now >= unknown_runs_end_at_;
  if (!synced_) {
    timers_.After(kReportRetryDelay,
                  guard_.Wrap([this] { RequestReport({}); }));
  }
}

void leased_minion::CheckProgress(std::uint64_t id, std::uint32_t percent) {
  leased_run& run = runs_.at(id);
  const steady_time now = time_.Now();
  if (percent != run.percent) {
    run.percent = percent;
    run.progress_at = now;
  } else if (run.state == run_state::kRunning &&
             now - run.progress_at > settings_.stall_limit) {
    LOG(WARNING) << "lease: run makes no progress task=" << run.name.job << "."
                 << run.name.task << " percent=" << percent;
    StopRun(id, "the run made no progress");
  }
}

bool leased_minion::IsEndDue(const leased_run& run,
                             std::uint64_t serial) const {
  return run.state == run_state::kStopping && run.last_report_before_stop &&
         serial > *run.last_report_before_stop &&
         time_.Now() - run.stop_acknowledged_at > settings_.stop_time;
}

void leased_minion::ReopenStop(leased_run& run, std::uint64_t serial) {
  if (IsEndDue(run, serial)) {
    run.last_report_before_stop.reset();
  }
}

bool leased_minion::IsOrderOverdue(const leased_run& run,
                                   steady_time requested) {
  return run.state == run_state::kOrdered &&
         requested - run.ordered_at >= kOrderGrace;
}

void leased_minion::OnRunNotListed(const sent_renewal& sent, std::uint64_t id) {
  leased_run& run = runs_.at(id);
  if (IsEndDue(run, sent.serial)) {
    // The order to start it was accepted or has no answer. Another request may
    // have acknowledged the end of the run, and an order on its way survives a
    // crash of the minion, so this does not prove that it has not run.
    Finish(id, MakeResult(run, task_outcome::kInterrupted),
           end_proof::kStopAcknowledged);
  } else if (IsOrderOverdue(run, sent.at)) {
    OnOrderLost(id, run);
  } else if (run.state == run_state::kRunning &&
             sent.serial > run.last_report_before_start) {
    StopRun(id, "the minion does not list the run any more");
  }
}

}  // namespace jayrill
