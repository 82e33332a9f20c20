#ifndef JAYRILL_PLACEMENT_MINION_HEALTH_H_
#define JAYRILL_PLACEMENT_MINION_HEALTH_H_

#include <chrono>
#include <cstdint>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Circuit breaker of one minion.
///
/// A minion that fails every task immediately looks idle, so it would get most
/// of the tasks. After kFailuresToBlock consecutive failures it gets no tasks.
/// After a delay it gets a single trial task; a failed trial doubles the delay
/// up to kLongestDelay, and a successful one ends the block. A trial that ends
/// without a result allows another one. Strategies choose a minion that is due
/// for a trial before all others, so a recovered minion gets a trial with the
/// first start that follows its delay.
///
/// Not thread-safe.
class minion_health {
 public:
  static constexpr std::uint32_t kFailuresToBlock = 5;
  static constexpr std::chrono::milliseconds kFirstDelay{1000};
  static constexpr std::chrono::milliseconds kLongestDelay{30'000};

  /// Which starts the minion may get: any, a single trial, or none.
  enum class permission { kAllowed, kTrial, kBlocked };

  /// \returns which starts the minion may get at \p now.
  permission Permission(steady_time now) const;

  /// Records that a start was sent. A start to a blocked minion is a trial: no
  /// other start may be sent until it ends.
  void OnStart(steady_time now);

  /// Records the result of a start that ran.
  void OnResult(bool succeeded, steady_time now);

  /// Records that a start did not run. If it was a trial, another one may
  /// follow.
  void OnNotRun() { trial_running_ = false; }

  /// Records that the session has ended, so that starts that were sent get no
  /// result. Without this, a trial among them would block the minion for ever.
  void OnSessionEnd() { trial_running_ = false; }

  /// \returns true while the minion gets no tasks other than trials.
  bool is_blocked() const { return blocked_; }

 private:
  std::uint32_t consecutive_failures_ = 0;
  bool blocked_ = false;
  bool trial_running_ = false;
  steady_time next_trial_;
  std::chrono::milliseconds delay_ = kFirstDelay;
};

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_MINION_HEALTH_H_
