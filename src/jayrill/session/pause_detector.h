#ifndef JAYRILL_SESSION_PAUSE_DETECTOR_H_
#define JAYRILL_SESSION_PAUSE_DETECTOR_H_

#include <chrono>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Longest gap between two ticks of an event loop that does not count as a
/// pause.
inline constexpr std::chrono::milliseconds kPauseLimit{1000};

/// Interval at which an event loop calls pause_detector::Tick.
inline constexpr std::chrono::milliseconds kPauseTick{100};

/// Detects that the process was paused, for example by SIGSTOP or because its
/// virtual machine was suspended.
///
/// After a pause, the event loop may handle messages that waited in the sockets
/// before it runs the timer. Code that handles a start therefore calls IsPaused
/// itself and doesn't rely on Tick alone. For use on one thread.
class pause_detector {
 public:
  explicit pause_detector(const clock& time)
      : time_(time), last_tick_(time.Now()) {}

  /// Called by a timer every kPauseTick.
  /// \returns true when the process was paused since the last tick.
  bool Tick() {
    const bool paused = IsPaused();
    last_tick_ = time_.Now();
    return paused;
  }

  /// \returns true when the last tick was longer ago than kPauseLimit.
  bool IsPaused() const { return time_.Now() - last_tick_ > kPauseLimit; }

 private:
  const clock& time_;
  steady_time last_tick_;
};

}  // namespace jayrill

#endif  // JAYRILL_SESSION_PAUSE_DETECTOR_H_
