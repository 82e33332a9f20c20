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

/// Slots and speed of one minion in the model of the ideal response time.
struct fleet_member {
  std::uint32_t slots = 0;
  double slowness = 1.0;  ///< Factor on the nominal run time of tasks.

  auto operator<=>(const fleet_member&) const = default;
};

/// \returns the response time of a job that has the entire \p fleet for itself,
/// with known run times and no overhead. Tasks are scheduled longest first,
/// each on the slot that finishes it earliest. \p fleet must have a slot.
/// \sa docs/load.md
std::chrono::microseconds IdealResponseTime(
    std::vector<std::chrono::microseconds> run_times,
    std::span<const fleet_member> fleet);

/// \returns the fleet in \p text, a list `slots:slowness,...`, where
/// `count*slots:slowness` stands for \a count equal members; an error
/// kInvalidArgument names the member that is malformed or out of range.
result<std::vector<fleet_member>> ParseFleet(std::string_view text);

/// \returns the nominal run time that \p fleet completes per unit of time with
/// all slots busy: 8 slots with slowness 2 complete 4 seconds per second.
double FleetCapacity(std::span<const fleet_member> fleet);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_IDEAL_H_
