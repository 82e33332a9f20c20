#ifndef JAYRILL_PLACEMENT_SHARE_WEIGHT_H_
#define JAYRILL_PLACEMENT_SHARE_WEIGHT_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace jayrill {

/// \returns the weight of a profile with \p urgency (0 to 100) where profiles
/// share the room of a minion. It doubles with every five points, which is the
/// step between two priorities of operators; at least 1.
inline std::uint32_t ShareWeight(std::uint32_t urgency) {
  constexpr double kPointsPerDoubling = 5;
  constexpr std::uint32_t kMostUrgent = 100;
  const double doublings = std::min(urgency, kMostUrgent) / kPointsPerDoubling;
  return static_cast<std::uint32_t>(std::lround(std::exp2(doublings)));
}

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_SHARE_WEIGHT_H_
