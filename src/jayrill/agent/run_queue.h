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
#include "jayrill/job/start_request.h"

namespace jayrill {

/// An accepted start that waits for a slot.
struct queued_start {
  incarnation entry;
  start_request order;
  steady_time arrived;
  steady_time deadline;
  /// The entry placed the start then or later.
  steady_time placed = {};

  auto operator<=>(const queued_start&) const = default;
};

/// Queue of the starts of all entries that wait for a slot of the minion,
/// ordered by priority and then by arrival.
///
/// Also counts the busy slots and the resources in use. Not thread-safe.
class run_queue {
 public:
  /// \returns true when a start should go before the others; empty: none
  /// should.
  using start_check = std::function<bool(const start_request&)>;

  explicit run_queue(std::size_t limit) : limit_(limit) {}

  /// \returns true when no further start can wait.
  bool IsFull() const { return waiting_.size() >= limit_; }

  /// Adds \p start. The queue must not be full.
  void Push(queued_start start);

  /// Takes the first start, or the first one for which \p goes_first is true,
  /// and marks a slot as busy. \p room is the capacity that the running tasks
  /// share; the chosen start waits until its needs fit, and others do not
  /// overtake it.
  /// \returns nothing when no start waits, \p slots slots are busy or the needs
  /// do not fit.
  std::optional<queued_start> TakeNext(std::uint32_t slots,
                                       const resource_amount& room = {},
                                       const start_check& goes_first = {});

  /// \returns the number of waiting starts that go before \p arriving.
  std::size_t CountAhead(const start_request& arriving,
                         const start_check& goes_first = {}) const;

  /// Frees a slot and \p needs after a task that ran for \p run_time. A zero
  /// \p run_time is left out of the mean run time.
  void FreeSlot(std::chrono::microseconds run_time,
                const resource_amount& needs = {});

  /// Removes the waiting start \p number of \p entry.
  /// \returns the start, or nothing when it does not wait.
  std::optional<queued_start> Withdraw(incarnation entry, start_number number);

  /// Removes every waiting start for which \p matches is true.
  /// \returns these starts in the order of the queue.
  std::vector<queued_start> WithdrawIf(
      const std::function<bool(const queued_start&)>& matches);

  /// \returns the estimated time until a new start would get one of \p slots
  /// slots, from the mean of recent run times.
  std::chrono::microseconds TimeUntilFree(std::uint32_t slots) const;

  /// \returns true when a start of \p entry waits.
  bool HasStartOf(incarnation entry) const;

  /// \returns the resources that running starts need.
  resource_amount running_use() const { return running_use_; }

  /// \returns the resources that running and waiting starts need.
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
