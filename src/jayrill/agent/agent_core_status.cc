#include <algorithm>
#include <vector>

#include "jayrill/agent/agent_core.h"

namespace jayrill {

namespace {

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
  std::vector<steady_duration> remaining = running_.RemainingTimes(time_.Now());
  if (ahead >= remaining.size()) {
    return std::chrono::milliseconds::max();
  }
  const auto next = remaining.begin() + static_cast<std::ptrdiff_t>(ahead);
  std::nth_element(remaining.begin(), next, remaining.end());
  return std::chrono::duration_cast<std::chrono::milliseconds>(*next);
}

std::uint32_t agent_core::SlownessPercent() const {
  const steady_time now = time_.Now();
  const auto slowness = pace_.Slowness(now, running_.UnfinishedRuns(now));
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
