#ifndef JAYRILL_AGENT_BACKOFF_H_
#define JAYRILL_AGENT_BACKOFF_H_

#include <algorithm>
#include <chrono>

#include "jayrill/base/random_source.h"

namespace jayrill {

/// Delay before the next dial of an entry: grows from 50 ms to 1 s.
///
/// Jitter keeps the agents from dialling a returning entry all at once.
class backoff {
 public:
  static constexpr std::chrono::milliseconds kFirst{50};
  static constexpr std::chrono::milliseconds kLongest{1000};

  /// \returns the next delay, between half of the current step and all of it.
  std::chrono::milliseconds Next(random_source& random) {
    const auto half = static_cast<std::uint64_t>(step_.count()) / 2;
    const auto delay = std::chrono::milliseconds(half + random.Below(half + 1));
    step_ = std::min(step_ * 2, kLongest);
    return delay;
  }

  /// Called when a connection was established.
  void Reset() { step_ = kFirst; }

 private:
  std::chrono::milliseconds step_ = kFirst;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_BACKOFF_H_
