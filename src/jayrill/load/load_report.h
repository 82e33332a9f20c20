#ifndef JAYRILL_LOAD_LOAD_REPORT_H_
#define JAYRILL_LOAD_LOAD_REPORT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "jayrill/load/log_histogram.h"
#include "jayrill/load/metric_totals.h"

namespace jayrill {

/// Result of one job of a load run.
struct job_sample {
  std::string team;
  std::size_t tasks = 0;
  std::chrono::microseconds ideal{};  ///< Ideal response time.
  /// Time from the intended send time to the end, so that a late send lengthens
  /// it.
  std::chrono::microseconds latency{};
  std::chrono::milliseconds deadline{};
  bool completed = false;  ///< The job is complete and every task has a result.
  std::string effect;      ///< Of a failure; `no_answer` without an answer.
  std::string code;        ///< Error code of a failure.
};

/// Totals of the complete jobs of one team. Jobs without an ideal response time
/// are left out.
struct team_totals {
  std::uint64_t completed = 0;
  double slowdown_sum = 0;

  double MeanSlowdown() const {
    return completed == 0 ? 0 : slowdown_sum / static_cast<double>(completed);
  }
};

/// Accumulates the results of a load run: counts of jobs and tasks, response
/// times, slowdowns and fairness between teams. Not thread-safe.
class load_report {
 public:
  /// A job sent this much or more after its intended time counts as late.
  static constexpr std::chrono::milliseconds kLateAfter{10};

  /// Counts a job that was sent \p lateness after its intended time.
  void OnJobSent(std::chrono::microseconds lateness);
  void OnJobEnded(const job_sample& sample);
  void SetElapsed(std::chrono::microseconds elapsed) { elapsed_ = elapsed; }
  void SetMessages(const metric_totals& messages) { messages_ = messages; }

  std::uint64_t sent() const { return sent_; }
  std::uint64_t late_sends() const { return late_sends_; }
  std::chrono::microseconds max_lateness() const { return max_lateness_; }
  std::uint64_t ended() const { return ended_; }
  /// Jobs that are complete with a result for every task.
  std::uint64_t completed() const { return completed_; }
  /// Failed jobs whose answer states that no task has run.
  std::uint64_t refused() const { return refused_; }
  /// All other failed jobs.
  std::uint64_t failed() const { return ended_ - completed_ - refused_; }
  std::uint64_t completed_by_deadline() const { return completed_by_deadline_; }
  std::uint64_t tasks_completed() const { return tasks_completed_; }
  std::chrono::microseconds elapsed() const { return elapsed_; }
  /// Response time of complete jobs divided by their ideal response time.
  const log_histogram& slowdowns() const { return slowdowns_; }
  /// Response time of complete jobs in milliseconds.
  const log_histogram& latencies_ms() const { return latencies_ms_; }
  /// Number of failed jobs by `effect/code`.
  const std::map<std::string, std::uint64_t>& failures() const {
    return failures_;
  }
  const std::map<std::string, team_totals>& teams() const { return teams_; }
  const metric_totals& messages() const { return messages_; }

  /// \returns the completed tasks per second of the run.
  double TaskRate() const;

  /// \returns Jain's fairness index of the mean slowdowns of the teams.
  double Fairness() const;

 private:
  std::uint64_t sent_ = 0;
  std::uint64_t late_sends_ = 0;
  std::chrono::microseconds max_lateness_{};
  std::uint64_t ended_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t completed_by_deadline_ = 0;
  std::uint64_t tasks_completed_ = 0;
  std::chrono::microseconds elapsed_{};
  log_histogram slowdowns_;
  log_histogram latencies_ms_;
  std::map<std::string, std::uint64_t> failures_;
  std::map<std::string, team_totals> teams_;
  metric_totals messages_;
};

/// \returns Jain's fairness index (sum x)^2 / (n sum x^2) of \p values: 1 when
/// all are equal, 1/n when all but one are 0; 1 without values.
double JainIndex(std::span<const double> values);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_LOAD_REPORT_H_
