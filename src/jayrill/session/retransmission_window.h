#ifndef JAYRILL_SESSION_RETRANSMISSION_WINDOW_H_
#define JAYRILL_SESSION_RETRANSMISSION_WINDOW_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Tells until when input may arrive that was sent while this process was cut
/// off or its machine stood still.
///
/// The network tries again what was not answered. Between two tries TCP waits
/// about as long as it has tried so far, and one second at first. What was sent
/// during a silence therefore arrives within the length of that silence and one
/// second after its end. For use on one thread.
class retransmission_window {
 public:
  /// Longest time for which the window stays open after a silence.
  static constexpr std::chrono::seconds kMaxLength{30};
  /// For how long it is open after the start of the process.
  static constexpr std::chrono::seconds kAfterStart{10};

  /// The process has started at \p started. It does not know for how long its
  /// machine was away before, so the window is open for a while.
  explicit retransmission_window(steady_time started)
      : began_(started), until_(started + kAfterStart) {}

  /// Must be called regularly by a timer.
  ///
  /// \param last_heard when any peer was heard of last; none: never
  /// \param usual_silence a longer time without a message from any peer shows
  ///     that this process is cut off or was paused
  void Update(steady_time now,
              std::optional<steady_time> last_heard,
              std::chrono::milliseconds usual_silence) {
    if (!last_heard) {
      return;
    }
    const steady_time before = last_heard_.value_or(*last_heard);
    const steady_time latest = std::max(*last_heard, before);
    last_heard_ = latest;
    // A silence that was noticed counts to its end, also when a longer one
    // would be usual by then.
    if (latest > before && (is_silent_ || latest - before > usual_silence)) {
      OnSilence(before, latest, now);
    }
    is_silent_ =
        (is_silent_ && latest == before) || now - latest > usual_silence;
    if (is_silent_) {
      OnSilence(latest, now, now);
    }
  }

  /// \returns when the window closes or has closed.
  steady_time until() const { return until_; }

 private:
  /// Nobody was heard of from \p began to \p ended.
  void OnSilence(steady_time began, steady_time ended, steady_time now) {
    constexpr std::chrono::seconds kFirstRetry{1};
    // What was sent during an earlier silence may have been tried in vain in
    // this one as well, so both count as one.
    began_ = began < until_ ? std::min(began_, began) : began;
    const steady_duration length = ended - began_ + kFirstRetry;
    until_ =
        std::max(until_, now + std::min<steady_duration>(length, kMaxLength));
  }

  std::optional<steady_time> last_heard_;
  bool is_silent_ = false;
  steady_time began_;  ///< Of the silences that the window is open for.
  steady_time until_;
};

}  // namespace jayrill

#endif  // JAYRILL_SESSION_RETRANSMISSION_WINDOW_H_
