#ifndef JAYRILL_PLACEMENT_MINION_VIEW_H_
#define JAYRILL_PLACEMENT_MINION_VIEW_H_

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>

#include "jayrill/base/clock.h"
#include "jayrill/job/resource_amount.h"

namespace jayrill {

/// Starts that an entry sends beyond the slots of a minion, so that the next
/// one is there when a slot becomes free.
inline constexpr std::uint32_t kLookahead = 1;

/// Longest expected wait of a start that uses the look-ahead. A task that is
/// bound for longer could have gone to another minion meanwhile.
inline constexpr std::chrono::microseconds kLookaheadWait{10'000};

/// A minion that may run a task, as one entry sees it at one moment.
struct minion_view {
  std::uint64_t id = 0;  ///< Chosen by the caller; stable for a minion.
  std::uint32_t slots = 0;
  std::uint32_t outstanding = 0;  ///< Starts of this entry without a result.
  std::uint32_t other_load = 0;   ///< Starts of other entries, as reported.
  /// Starts that this entry may have outstanding beside the other load: the
  /// slots, or fewer during slow start or a trial.
  std::uint32_t start_limit = 0;
  /// The minion is closed by its circuit breaker and due for a trial task.
  bool is_trial_due = false;
  resource_amount room{};    ///< That its tasks share; 0 is not limited.
  resource_amount used{};    ///< By the starts of all entries, as believed.
  double slowness = 1.0;     ///< Run time relative to the average minion.
  steady_time last_start{};  ///< Of this entry; the earliest time: none yet.
  /// Estimated time until a slot is free, when none is.
  std::chrono::microseconds expected_free{};

  auto operator<=>(const minion_view&) const = default;

  /// \returns all starts that the minion is believed to hold.
  std::uint32_t Load() const { return outstanding + other_load; }

  /// \returns true when a slot and the room for \p needs are free.
  bool HasRoom(const resource_amount& needs = {}) const {
    return Load() < slots && IsWithin(used + needs, room);
  }

  /// \returns true when a start is believed to get a slot and its room at
  /// once.
  bool HasFreeSlot(const resource_amount& needs = {}) const {
    return outstanding < start_limit && HasRoom(needs);
  }

  /// \returns true when a start may be sent now: there is room for it, or it is
  /// expected to be within kLookaheadWait and the look-ahead is not used up.
  bool CanStart(const resource_amount& needs = {}) const {
    return outstanding < start_limit &&
           (HasRoom(needs) || (Load() <= slots && IsWithin(used, room) &&
                               expected_free <= kLookaheadWait));
  }

  /// \returns how many tasks with \p needs run at a time.
  double SlotsFor(const resource_amount& needs) const {
    double count = slots;
    if (room.cpu_millis > 0 && needs.cpu_millis > 0) {
      count = std::min(count,
                       static_cast<double>(room.cpu_millis) / needs.cpu_millis);
    }
    if (room.memory_mb > 0 && needs.memory_mb > 0) {
      count = std::min(count,
                       static_cast<double>(room.memory_mb) / needs.memory_mb);
    }
    return count;
  }
};

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_MINION_VIEW_H_
