#include "run_log.h"

#include <algorithm>
#include <utility>

namespace jayrill::soak {

namespace {

bool IsRefusal(int status) {
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  return status == kTooManyRequests || status == kUnavailable;
}

steady_time EndOf(const run_record& run, steady_time now) {
  return run.how == run_end::kRunning ? now : run.end;
}

}  // namespace

const char* ToString(run_end end) {
  switch (end) {
    case run_end::kRunning:
      return "running";
    case run_end::kDone:
      return "done";
    case run_end::kStopped:
      return "stopped";
    case run_end::kLapsed:
      return "lapsed";
    case run_end::kCrashed:
      return "crashed";
  }
  return "";
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

run_log::run_index run_log::Begin(run_record run) {
  runs_.push_back(std::move(run));
  return runs_.size() - 1;
}

void run_log::End(run_index index, steady_time end, run_end how) {
  runs_.at(index).end = end;
  runs_.at(index).how = how;
}

void run_log::AddSubmission(const std::string& job,
                            submission_record submission) {
  --open_submissions_[job];
  submissions_[job].push_back(std::move(submission));
}

std::vector<overlap> run_log::Overlaps(steady_time now) const {
  std::map<std::string, std::vector<run_record>> by_task;
  for (const run_record& run : runs_) {
    by_task[run.task].push_back(run);
  }
  std::vector<overlap> found;
  for (auto& [task, runs] : by_task) {
    std::sort(runs.begin(), runs.end(),
              [](const run_record& left, const run_record& right) {
                return left.begin < right.begin;
              });
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t k = i + 1; k < runs.size(); ++k) {
        const steady_time end =
            std::min(EndOf(runs[i], now), EndOf(runs[k], now));
        if (runs[k].begin < end) {
          found.push_back({runs[i], runs[k], end - runs[k].begin});
        }
      }
    }
  }
  return found;
}

std::set<std::string> run_log::RefusedJobsThatRan() const {
  std::set<std::string> found;
  for (const run_record& run : runs_) {
    const std::string job = JobOf(run.task);
    const auto submissions = submissions_.find(job);
    const auto open = open_submissions_.find(job);
    const bool has_open = open != open_submissions_.end() && open->second > 0;
    if (submissions != submissions_.end() && !has_open &&
        std::all_of(submissions->second.begin(), submissions->second.end(),
                    [](const submission_record& submission) {
                      return IsRefusal(submission.status);
                    })) {
      found.insert(job);
    }
  }
  return found;
}

const std::vector<submission_record>& run_log::SubmissionsOf(
    const std::string& job) const {
  static const std::vector<submission_record> kNone;
  const auto found = submissions_.find(job);
  return found == submissions_.end() ? kNone : found->second;
}

std::map<int, int> run_log::CountStatuses() const {
  std::map<int, int> counts;
  for (const auto& [job, submissions] : submissions_) {
    for (const submission_record& submission : submissions) {
      ++counts[submission.status];
    }
  }
  return counts;
}

}  // namespace jayrill::soak
