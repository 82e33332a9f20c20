#ifndef JAYRILL_LOAD_LOAD_REPORT_H_
#define JAYRILL_LOAD_LOAD_REPORT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "jayrill/load/metric_totals.h"
#include "jayrill/load/ratio_histogram.h"

namespace jayrill {

/// How one job of a load run ended.
struct job_sample {
  std::string team;
  std::size_t tasks = 0;
  std::chrono::microseconds ideal{};
  /// From the intended send time, so that a late send counts as waiting.
  std::chrono::microseconds latency{};
  std::chrono::milliseconds deadline{};
  bool whole = false;
  std::string effect;  ///< Of a failure; `no_answer` when there was none.
  std::string code;
};

/// Jobs of one team that came back whole.
struct team_figures {
  std::uint64_t whole = 0;
  double slowdown_sum = 0;

  double MeanSlowdown() const {
    return whole == 0 ? 0 : slowdown_sum / static_cast<double>(whole);
  }
};

/// Adds up the results of a load run.
class load_report {
 public:
  /// A send this much behind its intended time counts as late.
  static constexpr std::chrono::milliseconds kLateAfter{10};

  void OnSent(std::chrono::microseconds lateness);
  void OnEnd(const job_sample& sample);
  void SetElapsed(std::chrono::microseconds elapsed) { elapsed_ = elapsed; }
  void SetMessages(const metric_totals& messages) { messages_ = messages; }

  std::uint64_t sent() const { return sent_; }
  std::uint64_t late_sends() const { return late_sends_; }
  std::chrono::microseconds max_lateness() const { return max_lateness_; }
  std::uint64_t ended() const { return ended_; }
  std::uint64_t whole() const { return whole_; }
  /// Failures that are marked as not run.
  std::uint64_t refused() const { return refused_; }
  std::uint64_t failed() const { return ended_ - whole_ - refused_; }
  std::uint64_t whole_by_deadline() const { return whole_by_deadline_; }
  std::uint64_t tasks_completed() const { return tasks_completed_; }
  std::chrono::microseconds elapsed() const { return elapsed_; }
  /// Response time over ideal of whole jobs.
  const ratio_histogram& ratios() const { return ratios_; }
  /// Response time of whole jobs in milliseconds.
  const ratio_histogram& latencies_ms() const { return latencies_ms_; }
  /// Count of failures by `effect/code`.
  const std::map<std::string, std::uint64_t>& failures() const {
    return failures_;
  }
  const std::map<std::string, team_figures>& teams() const { return teams_; }
  const metric_totals& messages() const { return messages_; }

  /// \returns the completed tasks per second of the run.
  double TaskRate() const;

  /// \returns Jain's index of the teams' mean slowdowns; 1 is even.
  double Fairness() const;

 private:
  std::uint64_t sent_ = 0;
  std::uint64_t late_sends_ = 0;
  std::chrono::microseconds max_lateness_{};
  std::uint64_t ended_ = 0;
  std::uint64_t whole_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t whole_by_deadline_ = 0;
  std::uint64_t tasks_completed_ = 0;
  std::chrono::microseconds elapsed_{};
  ratio_histogram ratios_;
  ratio_histogram latencies_ms_;
  std::map<std::string, std::uint64_t> failures_;
  std::map<std::string, team_figures> teams_;
  metric_totals messages_;
};

/// \returns Jain's index (sum x)^2 / (n sum x^2) of \p values: 1 when all are
/// equal, 1/n when one has everything; 1 without values.
double JainIndex(std::span<const double> values);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_LOAD_REPORT_H_
