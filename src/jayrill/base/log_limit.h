#ifndef JAYRILL_BASE_LOG_LIMIT_H_
#define JAYRILL_BASE_LOG_LIMIT_H_

#include <algorithm>
#include <cstdint>
#include <string>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Token bucket that limits how many log lines of one kind are written, and
/// counts the lines that are left out. Not thread-safe.
class log_limit {
 public:
  static constexpr double kLinesPerSecond = 50;
  static constexpr double kBurst = 100;

  /// \returns true when a line may be written at \p now; counts it as left out
  /// otherwise.
  bool Allows(steady_time now) {
    const std::chrono::duration<double> elapsed = now - last_refill_;
    last_refill_ = now;
    tokens_ = std::min(kBurst, tokens_ + elapsed.count() * kLinesPerSecond);
    if (tokens_ < 1) {
      ++lines_left_out_;
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  /// \returns the log field with the number of lines left out since the last
  /// call, to be appended to the next line; empty when there are none.
  std::string TakeLinesLeftOutField() {
    const std::uint64_t count = lines_left_out_;
    lines_left_out_ = 0;
    return count == 0 ? "" : " lines_left_out=" + std::to_string(count);
  }

 private:
  steady_time last_refill_;
  double tokens_ = kBurst;
  std::uint64_t lines_left_out_ = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_BASE_LOG_LIMIT_H_
