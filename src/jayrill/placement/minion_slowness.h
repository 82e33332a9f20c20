#ifndef JAYRILL_PLACEMENT_MINION_SLOWNESS_H_
#define JAYRILL_PLACEMENT_MINION_SLOWNESS_H_

#include <compare>
#include <optional>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Run time of a task on a minion relative to the average minion, and when that
/// was found.
struct slowness_sample {
  double value = 1.0;  ///< Above 0.
  steady_time found_at;

  auto operator<=>(const slowness_sample&) const = default;
};

/// \returns the slowness that is assumed at \p now: the one that the entry has
/// \p learned from its own runs, or the one that the agent has \p reported when
/// they contradict each other. Both decay towards 1, so that a minion that was
/// slow once is tried again.
double AssumedSlowness(const slowness_sample& learned,
                       const std::optional<slowness_sample>& reported,
                       steady_time now);

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_MINION_SLOWNESS_H_
