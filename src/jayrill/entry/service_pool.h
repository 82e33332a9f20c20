#ifndef JAYRILL_ENTRY_SERVICE_POOL_H_
#define JAYRILL_ENTRY_SERVICE_POOL_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jayrill/config/cluster_config.h"
#include "jayrill/entry/agent_session.h"
#include "jayrill/entry/refusal.h"
#include "jayrill/placement/task_queue.h"

namespace jayrill {

/// The waiting tasks of one service and the minions that have announced it.
///
/// Used on the dispatcher thread only. Each team has its own queue, so the
/// tasks of a team at its quota are not looked at when the next task is chosen.
class service_pool {
 public:
  using team_queues = std::map<std::string, task_queue, std::less<>>;

  explicit service_pool(std::string service) : service_(std::move(service)) {}

  void AddMinion(agent_session* session);
  void RemoveMinion(const agent_session* session);

  /// Adds a waiting task of \p team.
  void Push(const std::string& team, const queued_task& task);

  /// Removes the waiting tasks of \p job.
  /// \returns how many were removed.
  std::size_t RemoveJob(const std::string& team, job_id job);

  /// Removes one task; \p queue is one of queues().
  task_queue::const_iterator Remove(task_queue& queue,
                                    task_queue::const_iterator position);

  /// \returns the jobs that have waiting tasks.
  std::set<job_id> WaitingJobs() const;

  /// \returns the refusal for jobs of the service when no minion may run it
  /// under \p config; nothing when one may.
  std::optional<refusal> UnavailableReason(const cluster_config& config) const;

  /// Records whether a minion may run the service under \p config.
  /// \returns since when none may, or nothing when one may.
  std::optional<steady_time> UpdateUnavailableSince(
      const cluster_config& config,
      steady_time now);

  /// \returns true when \p session may run the service under \p limits.
  static bool Satisfies(const agent_session& session,
                        const profile_placement& limits);

  /// \returns the expected run time of the waiting tasks of all teams that go
  /// before a new job of \p urgency.
  std::chrono::microseconds RunTimeAhead(std::uint32_t urgency) const;

  const std::string& service() const { return service_; }
  const std::vector<agent_session*>& minions() const { return minions_; }
  team_queues& queues() { return queues_; }
  std::size_t waiting() const { return waiting_; }

  std::optional<steady_time> unavailable_since() const {
    return unavailable_since_;
  }

  /// \returns true when a run time of the service was learned. The expected run
  /// times of waiting tasks are then more precise than declared ones.
  bool has_learned_times() const { return has_learned_times_; }
  void set_has_learned_times() { has_learned_times_ = true; }

  /// \returns true when something has changed since the last placement pass, so
  /// that another one may place tasks.
  bool needs_placement() const { return needs_placement_; }
  void set_needs_placement(bool needed) { needs_placement_ = needed; }

  /// Records that a start has run.
  void OnRun() { return_share_ -= kReturnWeight * return_share_; }

  /// Records that a busy minion has given a start back.
  void OnReturn(steady_time now) {
    return_share_ += kReturnWeight * (1 - return_share_);
    last_return_ = now;
  }

  /// \returns true when busy minions have lately given back at least half of
  /// the starts, so that a minion that looks free probably is not.
  bool AreStartsReturned(steady_time now) const {
    return return_share_ >= kManyReturned && last_return_ &&
           now - *last_return_ < kReturnMemory;
  }

 private:
  /// Weight of the latest start in return_share_.
  static constexpr double kReturnWeight = 0.1;
  static constexpr double kManyReturned = 0.5;
  static constexpr std::chrono::milliseconds kReturnMemory{100};

  std::string service_;
  std::vector<agent_session*> minions_;
  team_queues queues_;
  std::size_t waiting_ = 0;
  bool needs_placement_ = false;
  bool has_learned_times_ = false;
  std::optional<steady_time> unavailable_since_;
  double return_share_ = 0;  ///< Of returns among the latest starts.
  std::optional<steady_time> last_return_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_SERVICE_POOL_H_
