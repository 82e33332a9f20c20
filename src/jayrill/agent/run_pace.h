#ifndef JAYRILL_AGENT_RUN_PACE_H_
#define JAYRILL_AGENT_RUN_PACE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Estimates the slowness of a minion from the runs of all entries.
///
/// An entry learns the slowness of a minion from its own runs only. In a large
/// fleet it has few of them there, so it would notice a change seconds later
/// than the agent, which sees all runs.
///
/// The estimate is an exponentially weighted mean of the logarithms of run time
/// divided by typical run time, so that one outlier has little effect. Not
/// thread-safe.
class run_pace {
 public:
  /// Time after the last run for which the estimate is reported.
  static constexpr std::chrono::seconds kValidity{5};

  /// A run that has not ended yet.
  struct unfinished_run {
    std::chrono::microseconds elapsed{};
    std::chrono::microseconds typical{};  ///< 0: not known.

    auto operator<=>(const unfinished_run&) const = default;
  };

  /// Records that a run took \p run_time on this minion and would take
  /// \p typical on the average one. Ignored when either is zero.
  void OnRunEnded(std::chrono::microseconds run_time,
                  std::chrono::microseconds typical,
                  steady_time now);

  /// \returns the run time relative to the average minion, or nothing when no
  /// run has ended lately and none is overdue. Those of \p running that have
  /// already taken longer than the estimate says count with that time.
  std::optional<double> Slowness(steady_time now,
                                 std::span<const unfinished_run> running) const;

 private:
  double log_ratio_ = 0;
  std::uint32_t samples_ = 0;
  steady_time last_sample_;
};

/// \returns \p slowness in percent, rounded to a step of about a quarter. With
/// finer steps each run would change the status and cause a report.
std::uint32_t RoundedPercent(double slowness);

}  // namespace jayrill

#endif  // JAYRILL_AGENT_RUN_PACE_H_
