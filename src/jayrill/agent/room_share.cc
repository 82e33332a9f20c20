#include "jayrill/agent/room_share.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>
#include <vector>

namespace jayrill {

namespace {

/// Allows for rounding, so that a queue that has exactly its share is not above
/// it.
constexpr double kRounding = 1 + 1e-9;

double CoreSeconds(std::uint32_t cpu_millis,
                   std::chrono::duration<double> duration) {
  constexpr double kMillisPerCore = 1000;
  return cpu_millis / kMillisPerCore * duration.count();
}

/// \returns the cores that \p start uses, in thousandths. A task that names
/// none counts as one core.
std::uint32_t CpuMillis(const start_request& start) {
  constexpr std::uint32_t kOneCore = 1000;
  return start.needs.cpu_millis == 0 ? kOneCore : start.needs.cpu_millis;
}

}  // namespace

double room_share::ChargeAt(const queue_state& queue, steady_time now) {
  const std::chrono::duration<double> elapsed = now - queue.updated;
  const std::chrono::duration<double> window = kWindow;
  return queue.charge * std::exp(-elapsed / window);
}

room_share::queue_state& room_share::Update(const std::string& queue,
                                            steady_time now) {
  queue_state& state = queues_[queue];
  state.charge = ChargeAt(state, now);
  state.updated = now;
  return state;
}

queue_usage& room_share::Usage(const std::string& queue) {
  static const std::string kOther = "other";
  const auto found = usage_.find(queue);
  if (found != usage_.end()) {
    return found->second;
  }
  return usage_[usage_.size() < kMaxCountedQueues ? queue : kOther];
}

void room_share::Forget(steady_time now) {
  std::erase_if(queues_, [now](const auto& item) {
    const queue_state& queue = item.second;
    return queue.waiting == 0 && queue.running == 0 &&
           now - queue.updated > kWindow;
  });
}

void room_share::OnWaiting(const start_request& start, steady_time now) {
  Forget(now);
  queue_state& queue = Update(QueueOf(start), now);
  queue.weight = std::max<std::uint32_t>(start.share_weight, 1);
  waiting_queues_ += queue.waiting == 0 ? 1 : 0;
  ++queue.waiting;
}

void room_share::OnWaitEnded(const start_request& start, steady_time now) {
  queue_state& queue = Update(QueueOf(start), now);
  --queue.waiting;
  waiting_queues_ -= queue.waiting == 0 ? 1 : 0;
}

void room_share::OnReturned(const start_request& start) {
  ++Usage(QueueOf(start)).returned;
}

run_charge room_share::OnRunStarted(const start_request& start,
                                    steady_time now) {
  run_charge charge{QueueOf(start), CpuMillis(start), start.expected_run};
  queue_state& queue = Update(charge.queue, now);
  ++queue.running;
  queue.charge += CoreSeconds(charge.cpu_millis, charge.expected_run);
  return charge;
}

void room_share::OnRunEnded(const run_charge& charge,
                            std::chrono::microseconds run_time,
                            steady_time now) {
  queue_state& queue = Update(charge.queue, now);
  --queue.running;
  const double used = CoreSeconds(charge.cpu_millis, run_time);
  const double expected = CoreSeconds(charge.cpu_millis, charge.expected_run);
  queue.charge = std::max(0.0, queue.charge + used - expected);
  Usage(charge.queue).core_seconds += used;
}

double room_share::Level(steady_time now) const {
  // Water-filling: a queue without waiting starts that has less than its part
  // keeps what it has, and the others share the rest.
  struct holding {
    double charge;
    double weight;
    double PerWeight() const { return charge / weight; }
  };
  std::vector<holding> satisfied;
  double charge_left = 0;
  double weight_left = 0;
  for (const auto& [name, queue] : queues_) {
    const holding item{ChargeAt(queue, now), static_cast<double>(queue.weight)};
    charge_left += item.charge;
    weight_left += item.weight;
    if (queue.waiting == 0) {
      satisfied.push_back(item);
    }
  }
  std::sort(satisfied.begin(), satisfied.end(),
            [](const holding& a, const holding& b) {
              return a.PerWeight() < b.PerWeight();
            });
  for (const holding& item : satisfied) {
    if (weight_left <= item.weight ||
        item.PerWeight() >= charge_left / weight_left) {
      break;
    }
    charge_left -= item.charge;
    weight_left -= item.weight;
  }
  return weight_left > 0 ? charge_left / weight_left : 0;
}

bool room_share::IsBelowShare(const start_request& start,
                              steady_time now) const {
  const auto found = queues_.find(QueueOf(start));
  if (found == queues_.end()) {
    return true;
  }
  const queue_state& queue = found->second;
  return ChargeAt(queue, now) <= Level(now) * queue.weight * kRounding;
}

std::string room_share::Describe(steady_time now) const {
  double sum = 0;
  for (const auto& [name, queue] : queues_) {
    sum += ChargeAt(queue, now);
  }
  std::ostringstream text;
  for (const auto& [name, queue] : queues_) {
    const double percent = sum > 0 ? 100 * ChargeAt(queue, now) / sum : 0;
    text << (text.tellp() > 0 ? "," : "") << name << ":" << std::lround(percent)
         << "%/" << queue.weight;
  }
  return text.str();
}

}  // namespace jayrill
