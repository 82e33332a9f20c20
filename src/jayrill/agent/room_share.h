#ifndef JAYRILL_AGENT_ROOM_SHARE_H_
#define JAYRILL_AGENT_ROOM_SHARE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "jayrill/base/clock.h"
#include "jayrill/job/start_request.h"

namespace jayrill {

/// Core time and returned starts of one queue since the start of the agent.
struct queue_usage {
  double core_seconds = 0;
  std::uint64_t returned = 0;  ///< Starts given back because of a busy minion.

  auto operator<=>(const queue_usage&) const = default;
};

/// What a run was charged for when it started.
struct run_charge {
  std::string queue;
  std::uint32_t cpu_millis = 0;
  std::chrono::milliseconds expected_run{};

  auto operator<=>(const run_charge&) const = default;
};

/// Weighted max-min fair shares of the processor of a minion between queues.
///
/// The share of a queue is in proportion to its weight. What a queue without
/// waiting starts leaves unused goes to the others, so the shares matter only
/// while starts wait. A run is charged for its expected core time when it
/// starts: a queue of long tasks would otherwise take every free slot before
/// its use shows. Charges fade with kWindow. A start without profile counts for
/// the queue of its kind.
///
/// Not thread-safe.
class room_share {
 public:
  /// Time over which use is averaged, and after which a queue without starts
  /// is forgotten. A few times the run time of most tasks.
  static constexpr std::chrono::milliseconds kWindow{1000};

  /// A start of a queue has arrived and waits for room.
  void OnWaiting(const start_request& start, steady_time now);
  /// A waiting start waits no more, because it runs, was withdrawn or was given
  /// back.
  void OnWaitEnded(const start_request& start, steady_time now);
  /// A start was given back to its entry because the minion is busy.
  void OnReturned(const start_request& start);
  /// A start begins to run.
  /// \returns what OnRunEnded needs.
  run_charge OnRunStarted(const start_request& start, steady_time now);
  /// A run has ended after \p run_time.
  void OnRunEnded(const run_charge& charge,
                  std::chrono::microseconds run_time,
                  steady_time now);

  /// \returns true when the queue of \p start has used less than its share, so
  /// that its starts go before those of queues that have used more.
  bool IsBelowShare(const start_request& start, steady_time now) const;

  /// \returns true when starts of at least two queues wait.
  bool IsContended() const { return waiting_queues_ > 1; }

  /// \returns the queues with their charge in percent of all and their weight,
  /// for the log.
  std::string Describe(steady_time now) const;

  /// \returns the use of each queue since the start, by name. At most
  /// kMaxCountedQueues; all further ones are counted as `other`.
  const std::map<std::string, queue_usage>& usage() const { return usage_; }

  /// \returns the name of the queue of \p start.
  static const std::string& QueueOf(const start_request& start) {
    return start.profile.empty() ? start.kind : start.profile;
  }

 private:
  static constexpr std::size_t kMaxCountedQueues = 100;

  struct queue_state {
    std::uint32_t weight = 1;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    double charge = 0;  ///< Core seconds at `updated`.
    steady_time updated;
  };

  /// \returns the charge of \p queue at \p now, in core seconds.
  static double ChargeAt(const queue_state& queue, steady_time now);

  /// \returns the state of \p queue, brought up to \p now.
  queue_state& Update(const std::string& queue, steady_time now);
  void Forget(steady_time now);
  queue_usage& Usage(const std::string& queue);

  /// \returns the charge for each unit of weight up to which a queue is below
  /// its share: at that level, the queues with waiting starts share what the
  /// others leave.
  double Level(steady_time now) const;

  std::map<std::string, queue_state> queues_;
  std::map<std::string, queue_usage> usage_;
  std::size_t waiting_queues_ = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_ROOM_SHARE_H_
