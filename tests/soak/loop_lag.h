#ifndef JAYRILL_TESTS_SOAK_LOOP_LAG_H_
#define JAYRILL_TESTS_SOAK_LOOP_LAG_H_

#include <QTimer>
#include <algorithm>
#include <chrono>

#include "jayrill/base/clock.h"

namespace jayrill::soak {

/// Measures how late the event loop of the soak gets to its timers. The
/// stand-ins, callers and links share that loop: while it is late, they are as
/// well, and the play shows less.
class loop_lag {
 public:
  explicit loop_lag(const clock& time) : time_(time), expected_(time.Now()) {
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Tick(); });
    timer_.setTimerType(Qt::PreciseTimer);
    timer_.start(kInterval);
    expected_ = time_.Now() + kInterval;
  }

  /// \returns the longest delay of a timer so far.
  std::chrono::milliseconds longest() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest_);
  }

  /// \returns in percent how much of the time so far a timer was overdue.
  int LatePercent() const {
    const steady_duration late = late_;
    return static_cast<int>(100 * late /
                            std::max(elapsed_, steady_duration(1)));
  }

 private:
  static constexpr std::chrono::milliseconds kInterval{20};

  void Tick() {
    const steady_time now = time_.Now();
    const steady_duration late =
        std::max(now - expected_, steady_duration::zero());
    longest_ = std::max(longest_, late);
    late_ += late;
    elapsed_ += late + kInterval;
    expected_ = now + kInterval;
  }

  const clock& time_;
  QTimer timer_;
  steady_time expected_;
  steady_duration longest_{};
  steady_duration late_{};
  steady_duration elapsed_{};
};

}  // namespace jayrill::soak

#endif  // JAYRILL_TESTS_SOAK_LOOP_LAG_H_
