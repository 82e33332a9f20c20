#ifndef JAYRILL_PLACEMENT_MINION_VIEW_H_
#define JAYRILL_PLACEMENT_MINION_VIEW_H_

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>

#include "jayrill/base/clock.h"
#include "jayrill/job/resource_amount.h"
#include "jayrill/placement/rack_id.h"

namespace jayrill {

/// Number of starts that an entry may send beyond the slots of a minion, so
/// that the agent already has the next start when a slot becomes free.
inline constexpr std::uint32_t kLookahead = 1;

/// Longest expected wait at the agent of a start beyond the slots. A task that
/// would wait longer stays at the entry, where it can still go to another
/// minion.
inline constexpr std::chrono::microseconds kLookaheadWait{10'000};

/// What an entry knows of a minion when it places a task.
struct minion_view {
  std::uint64_t id = 0;  ///< Assigned by the entry; constant for a minion.
  std::uint32_t slots = 0;
  std::uint32_t outstanding = 0;  ///< Starts of this entry without a result.
  std::uint32_t other_load = 0;   ///< Starts of other entries, as reported.
  /// Largest number of outstanding starts of this entry, not counting
  /// other_load. Lower than usual during slow start or a trial.
  std::uint32_t start_limit = 0;
  /// The circuit breaker of the minion allows only a trial task.
  bool is_trial_due = false;
  resource_amount room{};  ///< Capacity that its tasks share; 0: not limited.
  resource_amount used{};  ///< Estimated use by the starts of all entries.
  rack_id rack{};          ///< 0: not known.
  double slowness = 1.0;   ///< Run time relative to the average minion.
  /// Last start that this entry sent; default-constructed when there is none.
  steady_time last_start{};
  /// Estimated time until a slot becomes free; relevant when none is free.
  std::chrono::microseconds time_until_free{};

  auto operator<=>(const minion_view&) const = default;

  /// \returns the estimated number of starts of all entries that the minion
  /// runs or queues.
  std::uint32_t Load() const { return outstanding + other_load; }

  /// \returns true when a slot and the resources in \p needs are free.
  bool HasRoom(const resource_amount& needs = {}) const {
    return Load() < slots && IsWithin(used + needs, room);
  }

  /// \returns true when this entry may send a start, and a slot and the
  /// resources in \p needs are free.
  bool HasFreeSlot(const resource_amount& needs = {}) const {
    return outstanding < start_limit && HasRoom(needs);
  }

  /// \returns true when a start may be sent now: either a slot and the
  /// resources in \p needs are free, or they are expected to become free within
  /// kLookaheadWait and no start waits at the agent yet.
  bool CanStart(const resource_amount& needs = {}) const {
    return outstanding < start_limit &&
           (HasRoom(needs) ||
            (Load() <= slots && IsWithin(used, room) && IsWithin(needs, room) &&
             time_until_free <= kLookaheadWait));
  }

  /// \returns the part of the slots or of the processor that is in use,
  /// whichever is larger.
  double Utilisation() const {
    const double by_slots =
        slots == 0 ? 1.0 : static_cast<double>(Load()) / slots;
    const double by_processor =
        room.cpu_millis == 0
            ? (room.zero_means_none ? 1.0 : 0.0)
            : static_cast<double>(used.cpu_millis) / room.cpu_millis;
    return std::max(by_slots, by_processor);
  }

  /// \returns how many tasks with \p needs can run at the same time, limited by
  /// slots, processor and memory.
  double SlotsFor(const resource_amount& needs) const {
    if (!IsWithin(needs, room)) {
      return 0;
    }
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
