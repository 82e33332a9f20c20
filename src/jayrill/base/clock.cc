#include "jayrill/base/clock.h"

#include <ctime>

#include <cassert>

namespace jayrill {

steady_time system_clock::Now() const {
  // CLOCK_BOOTTIME, unlike CLOCK_MONOTONIC, advances while the machine is
  // suspended. To other processes a suspension looks like a stopped process, so
  // both have to count as elapsed time.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return steady_time(std::chrono::seconds(now.tv_sec) +
                     std::chrono::nanoseconds(now.tv_nsec));
}

wall_time system_clock::WallNow() const {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

manual_clock::manual_clock()
    : now_(std::chrono::hours(1)), wall_now_(std::chrono::hours(24 * 365)) {}

void manual_clock::Advance(steady_duration step) {
  assert(step >= steady_duration::zero() && "time does not move backwards");
  now_ += step;
  wall_now_ += std::chrono::duration_cast<std::chrono::milliseconds>(step);
}

}  // namespace jayrill
