#ifndef JAYRILL_AGENT_RUN_QUEUE_H_
#define JAYRILL_AGENT_RUN_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"
#include "jayrill/job/start_order.h"

namespace jayrill {

/// An accepted start that waits for a slot.
struct queued_start {
  incarnation entry;
  start_order order;
  steady_time arrived;
  steady_time deadline;

  auto operator<=>(const queued_start&) const = default;
};

/// The starts of all entries that wait for a slot of the minion, ordered by
/// priority and then by arrival, and the count of busy slots.
class run_queue {
 public:
  explicit run_queue(std::size_t limit) : limit_(limit) {}

  /// \returns true when no further start can wait.
  bool IsFull() const { return waiting_.size() >= limit_; }

  /// Adds \p start. The queue must not be full.
  void Push(queued_start start);

  /// Takes the next start and marks a slot as busy.
  /// \returns nothing when no start waits or \p slots slots are busy.
  /// \p room is what the running tasks share. The first start waits until its
  /// needs fit; later ones do not overtake it.
  std::optional<queued_start> TakeNext(std::uint32_t slots,
                                       const resource_amount& room = {});

  /// Frees a slot after a task that ran for \p run_time; the time is not
  /// learned when it is zero.
  void Release(std::chrono::microseconds run_time,
               const resource_amount& needs = {});

  /// Takes the waiting start \p number of \p entry out.
  std::optional<queued_start> Withdraw(incarnation entry, start_number number);

  /// Takes every waiting start out that \p matches, in the order of the queue.
  std::vector<queued_start> WithdrawIf(
      const std::function<bool(const queued_start&)>& matches);

  /// \returns the estimated time until a new start would get one of \p slots
  /// slots, from the mean of recent run times.
  std::chrono::microseconds ExpectedFree(std::uint32_t slots) const;

  /// \returns what running and waiting starts use.
  resource_amount used() const { return running_use_ + waiting_use_; }

  std::uint32_t busy() const { return busy_; }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct rank {
    double priority = 0;
    std::uint64_t arrival = 0;

    auto operator<=>(const rank&) const = default;
  };
  using start_key = std::pair<incarnation, start_number>;

  std::size_t limit_;
  std::uint64_t arrivals_ = 0;
  std::uint32_t busy_ = 0;
  resource_amount running_use_;
  resource_amount waiting_use_;
  double mean_run_micros_ = 0;
  std::map<rank, queued_start> waiting_;
  std::map<start_key, rank> ranks_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_RUN_QUEUE_H_
