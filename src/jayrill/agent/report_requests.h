#ifndef JAYRILL_AGENT_REPORT_REQUESTS_H_
#define JAYRILL_AGENT_REPORT_REQUESTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Tracks the requests of an agent for reports of its minion, and decides when
/// another one may be sent.
///
/// A request waits at the minion until a run ends. If its answer is lost, the
/// agent does not learn of the runs that end before the request times out, and
/// their slots stay idle. After a call without an answer, requests therefore
/// overlap for kLossMemory. Not thread-safe.
class report_requests {
 public:
  /// Shortest time between two requests that overlap. About the time in which
  /// one of the runs on a busy minion ends.
  static constexpr std::chrono::milliseconds kOverlapInterval{25};

  /// Time after a call without an answer for which requests overlap.
  static constexpr std::chrono::seconds kLossMemory{5};

  /// Records that the request \p serial was sent.
  void OnSent(std::uint64_t serial, steady_time now) {
    in_flight_.emplace(serial, now);
  }

  /// Records that the request \p serial has been answered or has failed.
  void OnEnded(std::uint64_t serial) { in_flight_.erase(serial); }

  /// Records that a call to the minion had no answer.
  void OnLoss(steady_time now) { last_loss_ = now; }

  /// \returns true when a call had no answer in the last kLossMemory.
  bool IsLossy(steady_time now) const {
    return last_loss_ && now - *last_loss_ < kLossMemory;
  }

  /// \returns true when a request may be sent for the present state of the
  /// minion, although another one waits for a run to end.
  bool MayAdd(steady_time now) const {
    return in_flight_.size() < (IsLossy(now) ? kMaxOverlapping : kMaxInFlight);
  }

  /// \returns true when a request that waits for a run to end is due.
  bool IsDue(steady_time now) const {
    if (in_flight_.empty()) {
      return true;
    }
    const steady_time newest = in_flight_.rbegin()->second;
    return IsLossy(now) && MayAdd(now) && now - newest >= kOverlapInterval;
  }

 private:
  /// Most requests in flight: one that waits for a run to end, and one for the
  /// present state.
  static constexpr std::size_t kMaxInFlight = 2;

  /// Most requests in flight while answers are lost. With one answer in ten
  /// lost, all of them are lost once in 10,000 times.
  static constexpr std::size_t kMaxOverlapping = 4;

  std::map<std::uint64_t, steady_time> in_flight_;  ///< Times sent, by serial.
  std::optional<steady_time> last_loss_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_REPORT_REQUESTS_H_
