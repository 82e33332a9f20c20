#include "jayrill/entry/estimates/start_estimates.h"

#include <algorithm>
#include <cstdint>

namespace jayrill {

namespace {

using std::chrono::microseconds;

/// An overdue task is assumed to run on for this fraction of the time by which
/// it is overdue.
constexpr double kOverdueFraction = 0.25;

/// Run times of one kind differ, so a task is never expected to end within less
/// than this fraction of its run time. Otherwise a start would be queued behind
/// a task of several seconds as soon as that task is slightly overdue.
constexpr double kMinRemainingFraction = 0.1;

}  // namespace

void start_estimates::Add(start_number number,
                          steady_time now,
                          std::chrono::duration<double, std::micro> run_time,
                          const resource_amount& needs) {
  const estimate added{
      now + std::chrono::duration_cast<steady_duration>(run_time),
      std::chrono::duration_cast<microseconds>(run_time *
                                               kMinRemainingFraction),
      needs};
  needs_ += needs;
  estimates_.emplace_hint(estimates_.end(), number, added);
  if (added.end < first_end_.end) {
    first_end_ = added;
  }
}

void start_estimates::Remove(start_number number) {
  const auto found = estimates_.find(number);
  if (found == estimates_.end()) {
    return;
  }
  needs_ -= found->second.needs;
  estimates_.erase(found);
  UpdateFirstEnd();
}

void start_estimates::RemoveAbove(start_number number) {
  const auto first = estimates_.upper_bound(number);
  for (auto it = first; it != estimates_.end(); ++it) {
    needs_ -= it->second.needs;
  }
  estimates_.erase(first, estimates_.end());
  UpdateFirstEnd();
}

std::optional<microseconds> start_estimates::TimeUntilFirstEnd(
    steady_time now) const {
  if (first_end_.end == steady_time::max()) {
    return std::nullopt;
  }
  if (first_end_.end < now) {
    return LeastRemaining(now);
  }
  return std::max(
      std::chrono::duration_cast<microseconds>(first_end_.end - now),
      first_end_.min_remaining);
}

microseconds start_estimates::LeastRemaining(steady_time now) const {
  auto least = microseconds::max();
  for (const auto& [number, start] : estimates_) {
    auto remaining = std::chrono::duration_cast<microseconds>(start.end - now);
    if (remaining.count() < 0) {
      remaining = microseconds(static_cast<std::int64_t>(
          static_cast<double>(-remaining.count()) * kOverdueFraction));
    }
    least = std::min(least, std::max(remaining, start.min_remaining));
  }
  return least;
}

void start_estimates::UpdateFirstEnd() {
  first_end_ = {};
  for (const auto& [number, start] : estimates_) {
    if (start.end < first_end_.end) {
      first_end_ = start;
    }
  }
}

}  // namespace jayrill
