#ifndef JAYRILL_ENTRY_EXPIRY_SETTLING_H_
#define JAYRILL_ENTRY_EXPIRY_SETTLING_H_

#include <chrono>
#include <compare>

#include "jayrill/base/clock.h"

namespace jayrill {

/// How long before its deadline a job begins to settle: its starts are
/// cancelled, and the entry waits for their ends. Enough for a cancel to an
/// agent of the same region and the answer through two busy processes.
inline constexpr std::chrono::milliseconds kSettleTime{40};

/// An answer is of no use to its caller any more after this multiple of the
/// latency objective of the job.
inline constexpr int kUsefulObjectives = 3;

/// What decides whether a job settles before its deadline.
struct settle_state {
  steady_time arrival;
  steady_time deadline;
  /// Latency objective of the job; zero: it has none.
  std::chrono::microseconds objective{};
  /// A run of the job has begun for certain, so that it can't end as not run.
  bool has_run = false;
  /// Each unfinished task has an outstanding start, so that the job may still
  /// end in time.
  bool is_started = false;

  auto operator<=>(const settle_state&) const = default;
};

/// \returns when a job with \p state begins to settle.
inline steady_time SettleStart(const settle_state& state) {
  return state.deadline - kSettleTime;
}

/// \returns true when the starts of a job that is about to expire should be
/// cancelled, so that its caller can be told whether anything has run.
///
/// A start without a result makes the failure ambiguous: the caller can't know
/// whether it is safe to submit the job again. Most such starts wait at an
/// agent and have not begun. A job whose answer may still be of use is left
/// alone.
bool ShouldSettle(const settle_state& state);

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_EXPIRY_SETTLING_H_
