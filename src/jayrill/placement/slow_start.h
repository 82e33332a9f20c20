#ifndef JAYRILL_PLACEMENT_SLOW_START_H_
#define JAYRILL_PLACEMENT_SLOW_START_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Usual time until a minion that joins or returns may use all of its slots.
inline constexpr std::chrono::milliseconds kSlowStartTime{5000};

/// \param since when the minion joined or returned.
/// \returns how many outstanding starts the minion may have at \p now: at least
/// 1, growing linearly to \p slots within \p duration.
inline std::uint32_t SlowStartLimit(steady_time since,
                                    steady_time now,
                                    std::uint32_t slots,
                                    std::chrono::milliseconds duration) {
  if (now - since >= duration) {
    return slots;
  }
  const double progress = std::chrono::duration<double>(now - since) /
                          std::chrono::duration<double>(duration);
  const auto limit =
      static_cast<std::uint32_t>(std::clamp(progress, 0.0, 1.0) * slots);
  return std::clamp<std::uint32_t>(limit, 1, std::max<std::uint32_t>(slots, 1));
}

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_SLOW_START_H_
