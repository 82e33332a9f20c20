#ifndef JAYRILL_PLACEMENT_MINION_HEALTH_H_
#define JAYRILL_PLACEMENT_MINION_HEALTH_H_

#include <chrono>
#include <cstdint>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Circuit breaker of one minion.
///
/// A minion that fails everything at once looks idle and would draw all work.
/// After consecutive failures it gets none; then single trial tasks, with a
/// delay that doubles, until one succeeds. Every end of a trial allows the next
/// one, and strategies choose a minion that is due for a trial before all
/// others, so a minion that is well works again within kLongestDelay and the
/// next start.
class minion_health {
 public:
  static constexpr std::uint32_t kFailuresToClose = 5;
  static constexpr std::chrono::milliseconds kFirstDelay{1000};
  static constexpr std::chrono::milliseconds kLongestDelay{30'000};

  /// Whether, and how, the minion may get a start.
  enum class permission { kOpen, kTrial, kClosed };

  /// \returns what the minion may get at \p now.
  permission Permission(steady_time now) const;

  /// Notes that a start was sent; in a trial, no other one may follow it until
  /// its result.
  void OnStart(steady_time now);

  /// Notes the result of a start that ran.
  void OnResult(bool succeeded, steady_time now);

  /// Notes that a start did not run, so a trial has shown nothing.
  void OnNotRun() { trial_running_ = false; }

  /// Notes that the starts that were sent get no result, because the session
  /// has ended. A trial among them would otherwise keep the minion closed.
  void OnSessionEnd() { trial_running_ = false; }

  /// \returns true while the minion gets trial tasks at most.
  bool is_closed() const { return closed_; }

 private:
  std::uint32_t consecutive_failures_ = 0;
  bool closed_ = false;
  bool trial_running_ = false;
  steady_time next_trial_;
  std::chrono::milliseconds delay_ = kFirstDelay;
};

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_MINION_HEALTH_H_
