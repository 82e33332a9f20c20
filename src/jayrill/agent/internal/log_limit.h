#ifndef JAYRILL_AGENT_INTERNAL_LOG_LIMIT_H_
#define JAYRILL_AGENT_INTERNAL_LOG_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "jayrill/base/clock.h"

namespace jayrill::agent::internal {

/// Bounds the lines that are logged in a second, since a minion that refuses
/// all starts would otherwise make its agent spend its processor on the log.
class log_limit {
 public:
  explicit log_limit(std::uint32_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  /// \returns the number of lines that were left out since the last line, or
  /// nothing when this line must be left out as well.
  std::optional<std::uint64_t> Admit(steady_time now) {
    if (now - second_began_ >= std::chrono::seconds(1)) {
      second_began_ = now;
      lines_ = 0;
    }
    if (lines_ >= lines_per_second_) {
      ++left_out_;
      return std::nullopt;
    }
    ++lines_;
    return std::exchange(left_out_, 0);
  }

 private:
  std::uint32_t lines_per_second_;
  std::uint32_t lines_ = 0;
  std::uint64_t left_out_ = 0;
  steady_time second_began_{};
};

}  // namespace jayrill::agent::internal

#endif  // JAYRILL_AGENT_INTERNAL_LOG_LIMIT_H_
