#include "jayrill/agent/entry_session.h"

#include <utility>

#include "jayrill/rpc/reader_limits.h"

namespace jayrill {

entry_session::opening entry_session::Connect() {
  gate_.Reconnect();
  connected_ = true;
  return {epoch(), gate_.last_accepted(), number_};
}

std::size_t entry_session::Welcome(bool resumed, session_number session) {
  lost_ = false;
  number_ = session;
  if (resumed) {
    return 0;
  }
  epoch_base_ = connection_epoch{epoch().value - 1};
  gate_ = start_gate();
  gate_.Reconnect();
  ++generation_;
  return DropResults();
}

void entry_session::Disconnect(steady_time now) {
  if (!connected_) {
    return;
  }
  connected_ = false;
  disconnected_at_ = now;
  for (const auto& [number, result] : results_) {
    unsent_.insert(number);
  }
}

std::size_t entry_session::DropResults() {
  const std::size_t dropped = results_.size();
  results_.clear();
  unsent_.clear();
  return dropped;
}

start_gate::decision entry_session::Admit(connection_epoch epoch,
                                          start_number number) {
  if (!connected_ || epoch.value <= epoch_base_.value) {
    return start_gate::decision::kStaleEpoch;
  }
  return gate_.Admit(connection_epoch{epoch.value - epoch_base_.value}, number);
}

void entry_session::AddResult(task_result result) {
  const start_number number = result.number;
  results_.insert_or_assign(number, std::move(result));
  unsent_.insert(number);
}

std::vector<const task_result*> entry_session::TakeUnsent(
    std::size_t max_bytes) {
  std::vector<const task_result*> taken;
  std::size_t bytes = 0;
  while (!unsent_.empty()) {
    const task_result& next = results_.at(*unsent_.begin());
    bytes += next.body.size() + next.message.size();
    if (!taken.empty() &&
        (bytes > max_bytes || taken.size() >= kMaxBatchItems)) {
      break;
    }
    taken.push_back(&next);
    unsent_.erase(unsent_.begin());
  }
  return taken;
}

void entry_session::Acknowledge(std::span<const start_number> numbers) {
  for (const start_number number : numbers) {
    if (!unsent_.contains(number)) {
      results_.erase(number);
    }
  }
}

}  // namespace jayrill
