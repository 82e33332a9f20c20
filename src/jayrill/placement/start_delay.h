#ifndef JAYRILL_PLACEMENT_START_DELAY_H_
#define JAYRILL_PLACEMENT_START_DELAY_H_

#include <chrono>

#include "jayrill/base/clock.h"

namespace jayrill {

/// How long the tasks of one profile wait for their start at present.
///
/// Under overload, a job that waits beyond its objective is worth little, and
/// the jobs behind it become late as well; so a job whose wait can be foreseen
/// to be too long is refused when it arrives.
class start_delay {
 public:
  /// A task of the profile was started after \p wait.
  void OnStart(std::chrono::microseconds wait, steady_time now) {
    delay_ += kNewestWeight * (Micros(wait) - delay_);
    updated_ = now;
  }

  /// \returns the wait to expect at \p now. It is forgotten when nothing has
  /// started for a while, so that refusals end when the queue is gone.
  std::chrono::microseconds Expected(steady_time now) const {
    return now - updated_ > kMemory
               ? std::chrono::microseconds{0}
               : std::chrono::microseconds(static_cast<std::int64_t>(delay_));
  }

 private:
  /// About the last five starts determine the delay.
  static constexpr double kNewestWeight = 0.2;
  static constexpr std::chrono::milliseconds kMemory{300};

  static double Micros(std::chrono::microseconds time) {
    return static_cast<double>(time.count());
  }

  double delay_ = 0;
  steady_time updated_;
};

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_START_DELAY_H_
