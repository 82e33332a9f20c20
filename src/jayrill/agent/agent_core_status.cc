#include <algorithm>
#include <vector>

#include "jayrill/agent/agent_core.h"
#include "jayrill/agent/internal/durations.h"

namespace jayrill {

using agent::internal::Micros;

namespace {

/// An overdue run is assumed to go on for this fraction of the time by which it
/// is overdue. Without it, a minion that has turned slow would look as if it
/// were about to be free.
constexpr double kOverdueFraction = 0.5;

/// A start that may wait for some time is given back when it has waited for
/// this multiple of it, because the estimate was wrong.
constexpr int kMaxWaitExcess = 2;

}  // namespace

bool agent_core::IsAnnounced() const {
  return minion_.has_value() &&
         time_.Now() - announced_at_ <= settings_.announce_ttl;
}

std::uint32_t agent_core::slots() const {
  if (!minion_) {
    return 0;
  }
  return std::min({minion_->slots, minion_->connections, settings_.slots_cap});
}

resource_amount agent_core::room() const {
  return minion_ ? minion_->room : resource_amount{};
}

std::chrono::milliseconds agent_core::ExpectedWait(
    const start_request& order) const {
  if (queue_.waiting() == 0 && queue_.busy() < slots() &&
      IsWithin(queue_.running_use() + order.needs, room())) {
    return {};
  }
  // Each start that goes before takes the place of one run that ends.
  const std::size_t ahead = queue_.CountAhead(order, StartsGoingFirst());
  const steady_time now = time_.Now();
  std::vector<steady_duration> remaining;
  remaining.reserve(running_.size());
  for (const auto& [call, run] : running_) {
    const steady_duration left = run.expected_end - now;
    remaining.push_back(left >= steady_duration::zero()
                            ? left
                            : std::chrono::duration_cast<steady_duration>(
                                  -left * kOverdueFraction));
  }
  if (ahead >= remaining.size()) {
    return std::chrono::milliseconds::max();
  }
  const auto next = remaining.begin() + static_cast<std::ptrdiff_t>(ahead);
  std::nth_element(remaining.begin(), next, remaining.end());
  return std::chrono::duration_cast<std::chrono::milliseconds>(*next);
}

std::uint32_t agent_core::SlownessPercent() const {
  const steady_time now = time_.Now();
  std::vector<run_pace::unfinished_run> unfinished;
  unfinished.reserve(running_.size());
  for (const auto& [call, run] : running_) {
    if (run.run_time.count() == 0 && !run.is_order_lost) {
      unfinished.push_back({Micros(now - run.released), run.typical_run});
    }
  }
  const auto slowness = pace_.Slowness(now, unfinished);
  return slowness ? RoundedPercent(*slowness) : 0;
}

void agent_core::GiveBackLateStarts() {
  const steady_time now = time_.Now();
  RefuseWaiting(
      [now](const queued_start& start) {
        return start.order.max_wait.count() > 0 &&
               now - start.arrived > kMaxWaitExcess * start.order.max_wait;
      },
      {not_run_reason::kBusy, "the minion stayed busy"});
}

minion_status agent_core::StatusFor(incarnation entry) const {
  minion_status status = Status();
  status.draining |= IsRetiring(entry);
  return status;
}

minion_status agent_core::Status() const {
  minion_status status;
  status.draining =
      stopping_ || departure_.has_left() || (minion_ && minion_->draining);
  status.busy = queue_.busy();
  status.queued = static_cast<std::uint32_t>(queue_.waiting());
  status.revision = config_.revision;
  status.crashes = crashes_.Recent();
  if (IsAnnounced()) {
    status.service = minion_->service;
    status.slots = slots();
    status.connections = minion_->connections;
    status.cores = minion_->cores;
    status.memory_mb = minion_->memory_mb;
    status.accelerators = minion_->accelerators;
    status.time_until_free = queue_.TimeUntilFree(slots());
    status.rack = minion_->rack;
    status.room = minion_->room;
    status.used = queue_.used();
    status.warm_up_remaining = minion_->warm_up_remaining;
    status.slowness_percent = SlownessPercent();
  }
  return status;
}

}  // namespace jayrill
