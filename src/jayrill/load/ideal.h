#ifndef JAYRILL_LOAD_IDEAL_H_
#define JAYRILL_LOAD_IDEAL_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "jayrill/base/error.h"

namespace jayrill {

/// Slots and speed of one minion, as the ideal assumes them.
struct fleet_member {
  std::uint32_t slots = 0;
  double slowness = 1.0;  ///< Run time relative to the nominal one.

  auto operator<=>(const fleet_member&) const = default;
};

/// \returns the finish time of a job that has the whole \p fleet for itself,
/// with known run times and no overhead: the longest task first, onto the slot
/// that finishes it earliest. \p fleet must have a slot.
/// \sa docs/load.md
std::chrono::microseconds IdealFinish(
    std::vector<std::chrono::microseconds> run_times,
    std::span<const fleet_member> fleet);

/// \returns the fleet in \p text, a list `slots:slowness,...`; a member may be
/// repeated with `count*slots:slowness`.
result<std::vector<fleet_member>> ParseFleet(std::string_view text);

/// \returns the nominal run time that \p fleet completes per unit of time.
double FleetCapacity(std::span<const fleet_member> fleet);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_IDEAL_H_
