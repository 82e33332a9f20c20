#ifndef JAYRILL_BASE_LOG_LIMIT_H_
#define JAYRILL_BASE_LOG_LIMIT_H_

#include <algorithm>
#include <cstdint>
#include <string>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Bounds the lines of one kind in the log and counts those left out.
class log_limit {
 public:
  static constexpr double kLinesPerSecond = 50;
  static constexpr double kBurst = 100;

  /// \returns true when a line may be written at \p now.
  bool Allows(steady_time now) {
    const std::chrono::duration<double> passed = now - last_;
    last_ = now;
    tokens_ = std::min(kBurst, tokens_ + passed.count() * kLinesPerSecond);
    if (tokens_ < 1) {
      ++left_out_;
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  /// \returns what to add to the next line: how many were left out before it.
  std::string TakeNote() {
    const std::uint64_t count = left_out_;
    left_out_ = 0;
    return count == 0 ? "" : " lines_left_out=" + std::to_string(count);
  }

 private:
  steady_time last_;
  double tokens_ = kBurst;
  std::uint64_t left_out_ = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_BASE_LOG_LIMIT_H_
