#ifndef JAYRILL_PLACEMENT_START_DELAY_H_
#define JAYRILL_PLACEMENT_START_DELAY_H_

#include <algorithm>
#include <chrono>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Estimates how long a task of one profile waits for its start.
///
/// The entry refuses an arriving job when the expected wait is too long for the
/// job's objective. Under overload, a job that misses its objective is of
/// little use, and running it makes the jobs behind it late as well. Not
/// thread-safe.
class start_delay {
 public:
  /// Records that a task of the profile was started after \p wait.
  void OnStart(std::chrono::microseconds wait, steady_time now) {
    delay_micros_ += kSampleWeight * (ToMicros(wait) - delay_micros_);
    last_sample_ = now;
  }

  /// Records that a busy minion has given back a start of a task that has
  /// waited for \p wait and goes on waiting. So the estimate does not fall.
  void OnReturn(std::chrono::microseconds wait, steady_time now) {
    delay_micros_ +=
        kSampleWeight * std::max(0.0, ToMicros(wait) - delay_micros_);
    last_sample_ = now;
  }

  /// \returns the expected wait at \p now. It is 0 when there was no sample for
  /// kMaxEstimateAge, so that refusals end after the queue has become empty.
  std::chrono::microseconds Expected(steady_time now) const {
    return now - last_sample_ > kMaxEstimateAge
               ? std::chrono::microseconds{0}
               : std::chrono::microseconds(
                     static_cast<std::int64_t>(delay_micros_));
  }

 private:
  /// The estimate follows about the last five starts.
  static constexpr double kSampleWeight = 0.2;
  static constexpr std::chrono::milliseconds kMaxEstimateAge{300};

  static double ToMicros(std::chrono::microseconds time) {
    return static_cast<double>(time.count());
  }

  double delay_micros_ = 0;
  steady_time last_sample_;
};

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_START_DELAY_H_
