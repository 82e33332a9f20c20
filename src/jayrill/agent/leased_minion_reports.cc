#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "jayrill/agent/internal/lease_limits.h"
#include "jayrill/agent/leased_minion.h"

namespace jayrill {

using agent::internal::kFailuresToLetLapse;
using agent::internal::kRetryDelay;

namespace {

/// Requests for reports at a time: one waits for an end, another may ask for
/// the state as of now.
constexpr std::uint32_t kMaxReportsInFlight = 2;

}  // namespace

void leased_minion::KeepReporting() {
  if (!minion_ || reports_in_flight_ > 0 || retry_scheduled_) {
    return;
  }
  if (!runs_.empty()) {
    RequestReport(settings_.report_wait);
  } else if (!synced_ || !waiting_.empty() ||
             acknowledged_ > acknowledgement_sent_) {
    RequestReport({});
  }
}

void leased_minion::RequestReport(std::chrono::milliseconds wait) {
  if (!minion_ || reports_in_flight_ >= kMaxReportsInFlight) {
    return;
  }
  ++reports_in_flight_;
  renewal request;
  request.fencing_token = token_;
  request.acknowledged = acknowledged_;
  request.wait = wait;
  if (clock_read_at_ && !runs_.empty() &&
      failed_reports_ < kFailuresToLetLapse) {
    request.lease_until = LeaseUntil();
  }
  const std::uint64_t serial = ++last_serial_;
  control_.Renew(
      request, guard_.Wrap([this, serial, acknowledged = acknowledged_](
                               const result<run_report>& answer) {
        --reports_in_flight_;
        CheckPause();
        if (answer && answer->life == life_) {
          acknowledgement_sent_ = std::max(acknowledgement_sent_, acknowledged);
        }
        OnReport(serial, answer);
        KeepReporting();
      }));
}

void leased_minion::OnReport(std::uint64_t serial,
                             const result<run_report>& answer) {
  if (!answer) {
    OnReportFailed(answer.error());
    return;
  }
  failed_reports_ = 0;
  if (minion_->life != 0 && answer->life < minion_->life) {
    return;  // Of a life that has ended.
  }
  if (!AdoptLife(serial, *answer)) {
    RequestReport({});
    return;
  }
  clock_read_ = answer->clock;
  clock_read_at_ = time_.Now();
  HandleEnds(*answer);
  HandleRunning(serial, *answer);
  BeginWaiting();
}

void leased_minion::OnReportFailed(const error& failure) {
  ++failed_reports_;
  if (failure.kind == error_kind::kConflict) {
    RaiseToken();
    failed_reports_ = 0;
  }
  if (failed_reports_ == kFailuresToLetLapse) {
    LOG(WARNING) << "lease: the minion does not answer runs=" << runs_.size()
                 << " " << failure.message;
  }
  retry_scheduled_ = true;
  timers_.After(kRetryDelay, guard_.Wrap([this] {
    retry_scheduled_ = false;
    KeepReporting();
  }));
}

// \returns false when the report cannot tell what runs.
bool leased_minion::AdoptLife(std::uint64_t serial, const run_report& report) {
  if (report.life != life_) {
    if (life_ != 0) {
      RaiseToken();
      life_began_after_ = last_serial_;
    }
    life_ = report.life;
    acknowledged_ = 0;
    acknowledgement_sent_ = 0;
    synced_ = false;
    clock_read_at_.reset();
  }
  if (!life_began_after_) {
    return true;
  }
  if (serial <= *life_began_after_) {
    return false;
  }
  life_began_after_.reset();
  std::set<run_name> present;
  for (const held_run& held : report.running) {
    present.insert(held.run);
  }
  std::vector<std::uint64_t> ended;
  for (auto& [id, run] : runs_) {
    if (!present.contains(run.name)) {
      run.reason = "the minion has started again";
      ended.push_back(id);
    }
  }
  LOG(WARNING) << "lease: the minion has started again life=" << life_
               << " runs_ended=" << ended.size();
  for (const std::uint64_t id : ended) {
    Finish(id, Outcome(runs_.at(id), task_outcome::kInterrupted));
  }
  return true;
}

void leased_minion::HandleEnds(const run_report& report) {
  for (const ended_run& end : report.ended) {
    if (end.sequence <= acknowledged_) {
      continue;
    }
    acknowledged_ = end.sequence;
    const auto found = FindTask(end.run);
    if (found == runs_.end() || found->second.name != end.run) {
      continue;
    }
    leased_run& run = found->second;
    run.has_run = true;
    switch (end.how) {
      case run_end::kDone:
        Finish(found->first, Outcome(run, task_outcome::kSucceeded));
        break;
      case run_end::kFailed:
        run.reason = "the run failed";
        Finish(found->first, Outcome(run, task_outcome::kFailed));
        break;
      case run_end::kLapsed:
        run.reason = "the lease of the run has lapsed";
        Finish(found->first, Outcome(run, task_outcome::kInterrupted));
        break;
      case run_end::kStopped:
        Finish(found->first, Outcome(run, task_outcome::kInterrupted));
        break;
    }
  }
}

void leased_minion::HandleRunning(std::uint64_t serial,
                                  const run_report& report) {
  bool has_foreign = false;
  std::set<std::uint64_t> present;
  for (const held_run& held : report.running) {
    const auto found = FindTask(held.run);
    if (found == runs_.end() || found->second.name != held.run) {
      has_foreign = true;
      StopForeign(held.run);
      continue;
    }
    present.insert(found->first);
    found->second.has_run = true;
    if (found->second.state == run_state::kOrdered) {
      found->second.state = run_state::kRunning;
      found->second.progress_at = time_.Now();
    }
    CheckProgress(found->first, held.percent);
  }
  std::vector<std::uint64_t> missing;
  for (const auto& [id, run] : runs_) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::uint64_t id : missing) {
    OnMissing(serial, id);
  }
  synced_ = synced_ || !has_foreign;
  if (!synced_) {
    timers_.After(kRetryDelay, guard_.Wrap([this] { RequestReport({}); }));
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
    LOG(WARNING) << "lease: run stands still task=" << run.name.job << "."
                 << run.name.task << " percent=" << percent;
    StopRun(id, "the run stood still");
  }
}

void leased_minion::OnMissing(std::uint64_t serial, std::uint64_t id) {
  leased_run& run = runs_.at(id);
  const bool is_fenced =
      run.state == run_state::kStopping && run.stopped_before &&
      serial > *run.stopped_before &&
      time_.Now() - run.stop_acknowledged_at > settings_.stop_time;
  if (is_fenced) {
    Finish(id, Outcome(run, run.has_run ? task_outcome::kInterrupted
                                        : task_outcome::kNotRun));
  } else if (run.state == run_state::kRunning && serial > run.running_before) {
    StopRun(id, "the minion does not list the run any more");
  }
}

}  // namespace jayrill
