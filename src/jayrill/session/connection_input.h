#ifndef JAYRILL_SESSION_CONNECTION_INPUT_H_
#define JAYRILL_SESSION_CONNECTION_INPUT_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/session/loop_progress.h"

namespace jayrill {

/// Bounds how long the input of one connection has waited, so that input that
/// was held up does not count as new.
///
/// After a pause an event loop accepts a connection in one turn and reads it in
/// a later one. What it reads then may have come with the connection, and the
/// connection at any time during the pause. Used on the thread of the loop.
class connection_input {
 public:
  /// The connection was accepted now. \p loop must outlive this object.
  connection_input(const clock& time, const loop_progress& loop)
      : time_(time),
        loop_(loop),
        accepted_(time.Now()),
        made_(EarliestArrival(loop.HandledUntil())) {}

  /// The loop has told that there is input.
  void OnReadable() {
    if (unread_since_) {
      return;
    }
    const steady_time handled = loop_.HandledUntil();
    // Without a whole turn since the accept, this is the first input, and may
    // have come with the connection.
    unread_since_ = handled <= accepted_ ? made_ : EarliestArrival(handled);
  }

  /// All input that was told was read; it has \p size bytes.
  void OnRead(std::size_t size) {
    OnReadable();
    const steady_time since = *std::exchange(unread_since_, std::nullopt);
    if (size > 0) {
      parts_.push_back({size, since});
    }
  }

  /// The oldest \p size bytes that were read have been used.
  void OnTaken(std::size_t size) {
    while (size > 0 && !parts_.empty()) {
      const std::size_t used = std::min(size, parts_.front().size);
      size -= used;
      parts_.front().size -= used;
      if (parts_.front().size == 0) {
        parts_.erase(parts_.begin());
      }
    }
  }

  /// \returns the longest time for which the oldest input that was read and not
  /// taken may have waited; zero while that is within the on-time limit.
  std::chrono::milliseconds MaxAge() const {
    const steady_time now = time_.Now();
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(
        now - (parts_.empty() ? now : parts_.front().since));
    return age > loop_progress::kOnTimeLimit ? age
                                             : std::chrono::milliseconds(0);
  }

  steady_time accepted() const { return accepted_; }

 private:
  /// Bytes that were read together.
  struct part {
    std::size_t size;
    steady_time since;  ///< Their earliest arrival.
  };

  /// \returns the earliest arrival of input that is seen now, when all input
  /// until \p handled has been handled.
  steady_time EarliestArrival(steady_time handled) const {
    const steady_time now = time_.Now();
    return now - handled > loop_progress::kOnTimeLimit ? handled : now;
  }

  const clock& time_;
  const loop_progress& loop_;
  steady_time accepted_;
  steady_time made_;  ///< The earliest time at which the connection was made.
  /// Earliest arrival of what was told and is not read.
  std::optional<steady_time> unread_since_;
  std::vector<part> parts_;  ///< What was read and is not used.
};

}  // namespace jayrill

#endif  // JAYRILL_SESSION_CONNECTION_INPUT_H_
