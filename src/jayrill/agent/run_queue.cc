#include "jayrill/agent/run_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jayrill {

namespace {

// Weight of the newest run time in the moving average, which then covers about
// the last ten runs.
constexpr double kNewestWeight = 0.1;

// NaN is not ordered and would break the order of the map.
double ReplaceNan(double priority) {
  return std::isnan(priority) ? 0 : priority;
}

}  // namespace

void run_queue::Push(queued_start start) {
  assert(!IsFull() && "check IsFull before Push");
  const rank position{ReplaceNan(start.order.priority), ++arrivals_};
  ranks_[start_key(start.entry, start.order.number)] = position;
  waiting_use_ += start.order.needs;
  waiting_.emplace(position, std::move(start));
}

std::optional<queued_start> run_queue::TakeNext(std::uint32_t slots,
                                                const resource_amount& room,
                                                const start_check& goes_first) {
  if (busy_ >= slots || waiting_.empty()) {
    return std::nullopt;
  }
  auto first = waiting_.begin();
  if (goes_first) {
    const auto preferred = std::find_if(
        waiting_.begin(), waiting_.end(),
        [&](const auto& item) { return goes_first(item.second.order); });
    first = preferred == waiting_.end() ? first : preferred;
  }
  const resource_amount needs = first->second.order.needs;
  if (!IsWithin(running_use_ + needs, room)) {
    return std::nullopt;
  }
  running_use_ += needs;
  waiting_use_ -= needs;
  queued_start start = std::move(first->second);
  waiting_.erase(first);
  ranks_.erase(start_key(start.entry, start.order.number));
  ++busy_;
  return start;
}

std::size_t run_queue::CountAhead(const start_request& arriving,
                                  const start_check& goes_first) const {
  const bool is_preferred = goes_first && goes_first(arriving);
  const double priority = ReplaceNan(arriving.priority);
  return static_cast<std::size_t>(
      std::count_if(waiting_.begin(), waiting_.end(), [&](const auto& item) {
        const bool other = goes_first && goes_first(item.second.order);
        return other == is_preferred ? item.first.priority <= priority : other;
      }));
}

void run_queue::FreeSlot(std::chrono::microseconds run_time,
                         const resource_amount& needs) {
  assert(busy_ > 0 && "FreeSlot must follow a TakeNext");
  --busy_;
  running_use_ -= needs;
  if (run_time.count() <= 0) {
    return;
  }
  const auto micros = static_cast<double>(run_time.count());
  mean_run_micros_ =
      mean_run_micros_ == 0
          ? micros
          : mean_run_micros_ + (micros - mean_run_micros_) * kNewestWeight;
}

std::optional<queued_start> run_queue::Withdraw(incarnation entry,
                                                start_number number) {
  const auto found = ranks_.find(start_key(entry, number));
  if (found == ranks_.end()) {
    return std::nullopt;
  }
  auto node = waiting_.extract(found->second);
  ranks_.erase(found);
  waiting_use_ -= node.mapped().order.needs;
  return std::move(node.mapped());
}

std::vector<queued_start> run_queue::WithdrawIf(
    const std::function<bool(const queued_start&)>& matches) {
  std::vector<queued_start> withdrawn;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (!matches(it->second)) {
      ++it;
      continue;
    }
    ranks_.erase(start_key(it->second.entry, it->second.order.number));
    waiting_use_ -= it->second.order.needs;
    withdrawn.push_back(std::move(it->second));
    it = waiting_.erase(it);
  }
  return withdrawn;
}

bool run_queue::HasStartOf(incarnation entry) const {
  const auto first = ranks_.lower_bound(start_key(entry, start_number{}));
  return first != ranks_.end() && first->first.first == entry;
}

std::chrono::microseconds run_queue::TimeUntilFree(std::uint32_t slots) const {
  if (slots == 0 || busy_ + waiting_.size() < slots) {
    return {};
  }
  // Starts that must end before a new one gets a slot.
  const auto ahead = static_cast<double>(busy_ + waiting_.size() - slots + 1);
  return std::chrono::microseconds(
      std::llround(mean_run_micros_ * ahead / slots));
}

}  // namespace jayrill
