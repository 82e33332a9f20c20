#include "jayrill/agent/running_calls.h"

#include <algorithm>
#include <utility>

#include "jayrill/agent/internal/durations.h"

namespace jayrill {

using agent::internal::Micros;

namespace {

/// An overdue run is assumed to go on for this fraction of the time by which it
/// is overdue. Without it, a minion that has turned slow would look as if it
/// were about to be free.
constexpr double kOverdueFraction = 0.5;

}  // namespace

std::uint64_t running_calls::Add(running_call call) {
  ++last_number_;
  calls_.emplace(last_number_, std::move(call));
  return last_number_;
}

running_call* running_calls::Find(std::uint64_t number) {
  const auto found = calls_.find(number);
  return found == calls_.end() ? nullptr : &found->second;
}

std::vector<std::uint64_t> running_calls::CloseGuards(
    const call_check& matches) {
  std::vector<std::uint64_t> closed;
  for (const auto& [number, call] : calls_) {
    if (matches(call)) {
      call.guard->Close();
      closed.push_back(number);
    }
  }
  return closed;
}

void running_calls::ExtendGuards(incarnation entry,
                                 std::uint64_t generation,
                                 steady_time when) {
  for (const auto& [number, call] : calls_) {
    if (call.entry == entry && call.generation == generation) {
      call.guard->Extend(when);
    }
  }
}

void running_calls::MarkStopped(incarnation entry) {
  for (auto& [number, call] : calls_) {
    call.stopped = call.stopped || call.entry == entry;
  }
}

bool running_calls::HasCallOf(incarnation entry) const {
  return std::any_of(calls_.begin(), calls_.end(), [entry](const auto& item) {
    return item.second.entry == entry;
  });
}

bool running_calls::HasUnstoppedCallOf(incarnation entry) const {
  return std::any_of(calls_.begin(), calls_.end(), [entry](const auto& item) {
    return item.second.entry == entry && !item.second.stopped;
  });
}

std::vector<steady_duration> running_calls::RemainingTimes(
    steady_time now) const {
  std::vector<steady_duration> remaining;
  remaining.reserve(calls_.size());
  for (const auto& [number, call] : calls_) {
    const steady_duration left = call.expected_end - now;
    remaining.push_back(left >= steady_duration::zero()
                            ? left
                            : std::chrono::duration_cast<steady_duration>(
                                  -left * kOverdueFraction));
  }
  return remaining;
}

std::vector<run_pace::unfinished_run> running_calls::UnfinishedRuns(
    steady_time now) const {
  std::vector<run_pace::unfinished_run> unfinished;
  unfinished.reserve(calls_.size());
  for (const auto& [number, call] : calls_) {
    if (call.run_time.count() == 0 && !call.is_order_lost) {
      unfinished.push_back({Micros(now - call.released), call.typical_run});
    }
  }
  return unfinished;
}

}  // namespace jayrill
