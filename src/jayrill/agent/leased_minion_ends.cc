#include <glog/logging.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "jayrill/agent/leased_minion.h"

namespace jayrill {

task_result leased_minion::MakeResult(const leased_run& run,
                                      task_outcome outcome) const {
  task_result result;
  result.outcome = outcome;
  result.crash = run.crash;
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

void leased_minion::LogEnd(const leased_run& run,
                           const task_result& outcome,
                           end_proof proof,
                           std::optional<order_answer> answer) {
  if (outcome.outcome == task_outcome::kSucceeded) {
    return;
  }
  const steady_time now = time_.Now();
  if (!end_log_limit_.Allows(now)) {
    return;
  }
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  // -1 stands for a minion that has not reported yet.
  const auto report_age =
      last_report_requested_at_
          ? duration_cast<milliseconds>(now - *last_report_requested_at_)
                .count()
          : -1;
  LOG(INFO) << "lease: call ended task=" << run.name.job << "." << run.name.task
            << " attempt=" << run.name.attempt
            << " job=" << ToString(run.call.order.job)
            << " proof=" << ToString(proof)
            << " answer=" << (answer ? ToString(*answer) : "none")
            << " not_run=" << (outcome.outcome == task_outcome::kNotRun)
            << " has_run=" << run.has_run << " tries=" << run.order_tries
            << " report_age_ms=" << report_age << " life=" << life_
            << " token=" << token_ << " reason=\"" << outcome.message << "\""
            << end_log_limit_.TakeLinesLeftOutField();
}

void leased_minion::Finish(std::uint64_t id,
                           task_result outcome,
                           end_proof proof,
                           std::optional<order_answer> answer) {
  LogEnd(runs_.at(id), outcome, proof, answer);
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
  leased_run run;
  run.call = call;
  run.name = {call.order.job_name, call.order.task_index, call.order.attempt};
  LogEnd(run, result, end_proof::kNotOrdered, std::nullopt);
  listener_.on_result(call.id, std::move(result));
  listener_.on_slot_free(call.id);
}

void leased_minion::InterruptConfirmedRuns(const std::string& reason) {
  std::vector<std::uint64_t> lapsed;
  for (const auto& [id, run] : runs_) {
    if (run.has_run) {
      lapsed.push_back(id);
    }
  }
  if (!lapsed.empty()) {
    LOG(WARNING) << "lease: treating runs as interrupted runs=" << lapsed.size()
                 << " open_orders=" << runs_.size() - lapsed.size() << " "
                 << reason;
  }
  // A minion that is silent or fails need not have crashed.
  if (is_unreachable_) {
    AssignCrashRoles(lapsed);
  }
  for (const std::uint64_t id : lapsed) {
    leased_run& run = runs_.at(id);
    run.reason = reason;
    Finish(id, MakeResult(run, task_outcome::kInterrupted),
           end_proof::kLeasePassed);
  }
}

void leased_minion::AssignCrashRoles(const std::vector<std::uint64_t>& ended) {
  if (is_end_announced_) {
    return;
  }
  // A run that was ordered after the first failure has not begun.
  const steady_time latest_start = first_failure_at_.value_or(time_.Now());
  steady_time last_start;
  for (const auto& [id, run] : runs_) {
    if (run.ordered_at <= latest_start) {
      last_start = std::max(last_start, run.ordered_at);
    }
  }
  for (const std::uint64_t id : ended) {
    leased_run& run = runs_.at(id);
    if (run.ordered_at <= latest_start) {
      run.crash = run.ordered_at == last_start ? crash_role::kLikelyCause
                                               : crash_role::kBeside;
    }
  }
}

}  // namespace jayrill
