#include "jayrill/load/load_report.h"

#include <algorithm>
#include <vector>

#include "jayrill/load/time_units.h"

namespace jayrill {

using std::chrono::microseconds;

void load_report::OnJobSent(microseconds lateness) {
  ++sent_;
  if (lateness >= kLateAfter) {
    ++late_sends_;
  }
  max_lateness_ = std::max(max_lateness_, lateness);
}

void load_report::OnJobEnded(const job_sample& sample) {
  ++ended_;
  if (!sample.completed) {
    if (sample.effect == "not_run") {
      ++refused_;
    }
    ++failures_[sample.effect + "/" + sample.code];
    return;
  }
  ++completed_;
  if (sample.latency <= sample.deadline) {
    ++completed_by_deadline_;
  }
  tasks_completed_ += sample.tasks;
  latencies_ms_.Add(ToMilliseconds(sample.latency));
  // The ideal response time is 0 when all tasks have run time 0, and a slowdown
  // is then undefined.
  if (sample.ideal.count() > 0) {
    const double slowdown =
        ToMicroseconds(sample.latency) / ToMicroseconds(sample.ideal);
    slowdowns_.Add(slowdown);
    team_totals& team = teams_[sample.team];
    ++team.completed;
    team.slowdown_sum += slowdown;
  }
}

double load_report::TaskRate() const {
  return elapsed_.count() == 0
             ? 0
             : static_cast<double>(tasks_completed_) * kMicrosecondsPerSecond /
                   ToMicroseconds(elapsed_);
}

double load_report::Fairness() const {
  std::vector<double> slowdowns;
  for (const auto& [name, team] : teams_) {
    slowdowns.push_back(team.MeanSlowdown());
  }
  return JainIndex(slowdowns);
}

double JainIndex(std::span<const double> values) {
  double sum = 0;
  double squares = 0;
  for (const double value : values) {
    sum += value;
    squares += value * value;
  }
  return squares == 0
             ? 1
             : sum * sum / (static_cast<double>(values.size()) * squares);
}

}  // namespace jayrill
