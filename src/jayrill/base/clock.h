#ifndef JAYRILL_BASE_CLOCK_H_
#define JAYRILL_BASE_CLOCK_H_

#include <chrono>

namespace jayrill {

using steady_time = std::chrono::steady_clock::time_point;
using steady_duration = std::chrono::steady_clock::duration;
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

/// Source of time. Code that makes decisions takes a clock, so that tests can
/// control the time.
///
/// Intervals are measured with Now() only. Wall time is used for request keys
/// and audit records.
class clock {
 public:
  virtual ~clock() = default;

  /// \returns the monotonic time, which also advances while the process is
  /// stopped by a signal and while the machine is suspended.
  virtual steady_time Now() const = 0;

  /// \returns the wall-clock time in milliseconds since the Unix epoch.
  virtual wall_time WallNow() const = 0;
};

/// The clock of the operating system.
class system_clock final : public clock {
 public:
  steady_time Now() const override;
  wall_time WallNow() const override;
};

/// A clock that advances only when Advance is called; for tests and benchmarks.
/// Not thread-safe.
class manual_clock final : public clock {
 public:
  manual_clock();

  steady_time Now() const override { return now_; }
  wall_time WallNow() const override { return wall_now_; }

  /// Advances both times by \p step, which must not be negative.
  void Advance(steady_duration step);

  /// Changes only the wall-clock time, as an adjustment of the system clock
  /// does.
  void AdjustWall(std::chrono::milliseconds step) { wall_now_ += step; }

 private:
  steady_time now_;
  wall_time wall_now_;
};

}  // namespace jayrill

#endif  // JAYRILL_BASE_CLOCK_H_
