#ifndef JAYRILL_SESSION_LOOP_PROGRESS_H_
#define JAYRILL_SESSION_LOOP_PROGRESS_H_

#include <atomic>
#include <chrono>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Tells other threads until when an event loop has handled its input, so that
/// they do not act on a state that later input may have changed.
///
/// Tick() is called on the thread of the loop; every thread may call the
/// others.
class loop_progress {
 public:
  /// A loop with a smaller lag counts as on time.
  static constexpr std::chrono::milliseconds kOnTimeLimit{250};
  /// Interval at which the event loop calls Tick.
  static constexpr std::chrono::milliseconds kTickInterval{100};

  explicit loop_progress(const clock& time)
      : time_(time), last_tick_(time.Now()), handled_until_(last_tick_) {}

  void Tick() {
    // Input that came before the last tick has had a whole turn of the loop;
    // input that came after it may be handled after this timer.
    handled_until_.store(last_tick_, std::memory_order_release);
    last_tick_ = time_.Now();
  }

  /// \returns the latest time until which the loop is known to have handled all
  /// its input.
  steady_time HandledUntil() const {
    return handled_until_.load(std::memory_order_acquire);
  }

  /// \returns how long ago that was; zero while the loop is on time.
  std::chrono::milliseconds Lag() const {
    const auto lag = std::chrono::ceil<std::chrono::milliseconds>(
        time_.Now() - HandledUntil());
    return lag > kOnTimeLimit ? lag : std::chrono::milliseconds(0);
  }

 private:
  const clock& time_;
  steady_time last_tick_;
  std::atomic<steady_time> handled_until_;
};

}  // namespace jayrill

#endif  // JAYRILL_SESSION_LOOP_PROGRESS_H_
