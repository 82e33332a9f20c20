#include "jayrill/job/job_collector.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace jayrill {

job_collector::job_collector(std::size_t task_count)
    : states_(task_count, task_state::kWaiting), results_(task_count) {
  assert(task_count > 0 && "a job has at least one task");
}

void job_collector::OnStartSent(std::uint32_t task_index) {
  assert(task_index < states_.size() && "the task belongs to the job");
  assert(states_[task_index] == task_state::kWaiting &&
         "a task that may have started is never sent again");
  states_[task_index] = task_state::kSent;
}

bool job_collector::OnResult(std::uint32_t task_index,
                             const task_result& result) {
  if (task_index >= states_.size() ||
      states_[task_index] != task_state::kSent) {
    return false;
  }
  task_state& state = states_[task_index];
  switch (result.outcome) {
    case task_outcome::kNotRun:
      state = task_state::kWaiting;
      return true;
    case task_outcome::kSucceeded:
      state = task_state::kSucceeded;
      ++succeeded_;
      if (outcome_) {
        return false;
      }
      results_[task_index] = result.body;
      if (succeeded_ == states_.size()) {
        outcome_ = job_answer{std::move(results_)};
      }
      return true;
    case task_outcome::kFailed:
      state = task_state::kFailed;
      return Fail(
          "task_failed",
          "task " + std::to_string(task_index) + " failed: " + result.message,
          "correct the task or the service and submit a new job");
    case task_outcome::kInterrupted:
    case task_outcome::kUnknown:
      state = task_state::kUnknown;
      return Fail(
          "task_lost",
          "task " + std::to_string(task_index) +
              " may have run, but its result is lost: " + result.message,
          "check whether the job took effect before submitting again");
  }
  return false;
}

void job_collector::OnRunEnded(std::uint32_t task_index) {
  if (task_index < states_.size() && states_[task_index] == task_state::kSent) {
    states_[task_index] = task_state::kWaiting;
    has_ended_run_ = true;
  }
}

bool job_collector::Fail(std::string code,
                         std::string message,
                         std::string remedy) {
  if (outcome_) {
    return false;
  }
  outcome_ = MakeJobFailure(EffectSoFar(), std::move(code), std::move(message),
                            std::move(remedy));
  return true;
}

bool job_collector::GiveUp(std::string code,
                           std::string message,
                           std::string remedy) {
  if (outcome_) {
    return false;
  }
  outcome_ = MakeJobFailure(job_effect::kRanAndFailed, std::move(code),
                            std::move(message), std::move(remedy));
  return true;
}

bool job_collector::HasRun() const {
  return has_ended_run_ ||
         std::any_of(states_.begin(), states_.end(), [](task_state state) {
           return state != task_state::kWaiting && state != task_state::kSent;
         });
}

job_effect job_collector::EffectSoFar() const {
  const auto has = [this](task_state wanted) {
    return std::find(states_.begin(), states_.end(), wanted) != states_.end();
  };
  if (has(task_state::kSent) || has(task_state::kUnknown)) {
    return job_effect::kMayHaveRun;
  }
  return HasRun() ? job_effect::kRanAndFailed : job_effect::kNotRun;
}

std::vector<std::uint32_t> job_collector::OutstandingTasks() const {
  std::vector<std::uint32_t> tasks;
  for (std::uint32_t i = 0; i < states_.size(); ++i) {
    if (states_[i] == task_state::kSent) {
      tasks.push_back(i);
    }
  }
  return tasks;
}

}  // namespace jayrill
