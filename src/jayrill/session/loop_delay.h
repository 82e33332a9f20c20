#ifndef JAYRILL_SESSION_LOOP_DELAY_H_
#define JAYRILL_SESSION_LOOP_DELAY_H_

#include <chrono>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Tells how long input may have waited unread because the event loop was held
/// up, by a pause of the process or by other work. For use on one thread.
class loop_delay {
 public:
  /// Interval at which the event loop calls Tick.
  static constexpr std::chrono::milliseconds kTickInterval{100};

  explicit loop_delay(const clock& time) : time_(time), last_(time.Now()) {}

  void Tick() { last_ = time_.Now(); }

  /// \returns the longest time for which input that is read now may have
  /// waited; zero while the loop is on time.
  std::chrono::milliseconds MaxInputAge() const {
    constexpr std::chrono::milliseconds kOnTimeLimit{250};
    const auto age =
        std::chrono::ceil<std::chrono::milliseconds>(time_.Now() - last_);
    return age > kOnTimeLimit ? age : std::chrono::milliseconds(0);
  }

 private:
  const clock& time_;
  steady_time last_;
};

}  // namespace jayrill

#endif  // JAYRILL_SESSION_LOOP_DELAY_H_
