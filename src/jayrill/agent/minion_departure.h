#ifndef JAYRILL_AGENT_MINION_DEPARTURE_H_
#define JAYRILL_AGENT_MINION_DEPARTURE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "jayrill/agent/announcement.h"
#include "jayrill/base/clock.h"

namespace jayrill {

/// Remembers which minion has left, so that an announcement that it sent before
/// and that arrives late does not make it available again.
///
/// A late announcement is ignored for the time to live of announcements. One
/// with another instance or life comes from a new minion and counts at once. A
/// minion without an instance name cannot be told from its predecessor and has
/// to wait.
class minion_departure {
 public:
  explicit minion_departure(std::chrono::milliseconds announce_ttl)
      : announce_ttl_(announce_ttl) {}

  /// Records that the minion that was announced last has left.
  void OnLeave(steady_time now) { left_at_ = now; }

  /// Records \p minion as announced, unless the announcement is late.
  /// \returns false when it must be ignored.
  bool Accept(const announcement& minion, steady_time now) {
    const bool is_same = instance_ == minion.instance && life_ == minion.life;
    if (left_at_ && (is_same || minion.instance.empty()) &&
        now - *left_at_ <= announce_ttl_) {
      return false;
    }
    left_at_.reset();
    instance_ = minion.instance;
    life_ = minion.life;
    return true;
  }

  /// \returns true from OnLeave until a minion is accepted.
  bool has_left() const { return left_at_.has_value(); }

 private:
  std::chrono::milliseconds announce_ttl_;
  std::optional<steady_time> left_at_;
  std::string instance_;
  std::uint64_t life_ = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_MINION_DEPARTURE_H_
