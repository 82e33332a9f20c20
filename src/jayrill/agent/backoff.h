#ifndef JAYRILL_AGENT_BACKOFF_H_
#define JAYRILL_AGENT_BACKOFF_H_

#include <algorithm>
#include <chrono>

#include "jayrill/base/random_source.h"

namespace jayrill {

/// Exponential backoff between two attempts to connect to an entry, from 50 ms
/// to 1 s.
///
/// Jitter spreads the attempts of the agents, so that they do not all connect
/// at once to an entry that is back.
class backoff {
 public:
  static constexpr std::chrono::milliseconds kFirstDelay{50};
  static constexpr std::chrono::milliseconds kLongestDelay{1000};

  /// \returns the next delay, between half of the current step and all of it.
  std::chrono::milliseconds Next(random_source& random) {
    const auto half = static_cast<std::uint64_t>(step_.count()) / 2;
    const auto delay = std::chrono::milliseconds(half + random.Below(half + 1));
    step_ = std::min(step_ * 2, kLongestDelay);
    return delay;
  }

  /// Starts again at kFirstDelay, after a connection was established.
  void Reset() { step_ = kFirstDelay; }

 private:
  std::chrono::milliseconds step_ = kFirstDelay;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_BACKOFF_H_
