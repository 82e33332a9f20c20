#ifndef JAYRILL_SESSION_PEER_CLOCK_H_
#define JAYRILL_SESSION_PEER_CLOCK_H_

#include <chrono>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Lower bound of the steady clock of a peer, which is not synchronised with
/// the own one. The peer puts its time into its messages.
///
/// Each message replaces the bound, also by a lower one. A bound that was kept
/// would drift, or would stay too high after the clock of the peer was stopped.
class peer_clock {
 public:
  /// A message that the peer sent at \p sent on its clock was read at \p now.
  /// Zero: the peer does not say when, and the bound is not known.
  void OnMessage(std::chrono::microseconds sent, steady_time now) {
    sent_ = sent;
    read_at_ = now;
  }

  /// \returns the least time that the clock of the peer can show at \p now;
  /// zero when it is not known.
  std::chrono::microseconds LowerBound(steady_time now) const {
    if (sent_.count() == 0) {
      return {};
    }
    return sent_ + std::chrono::duration_cast<std::chrono::microseconds>(
                       now - read_at_);
  }

 private:
  std::chrono::microseconds sent_{};
  steady_time read_at_;
};

}  // namespace jayrill

#endif  // JAYRILL_SESSION_PEER_CLOCK_H_
