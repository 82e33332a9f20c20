#ifndef JAYRILL_ENTRY_SERVICE_POOL_H_
#define JAYRILL_ENTRY_SERVICE_POOL_H_

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
/// Each team has its own queue, so a team that is at its quota costs nothing
/// when the next task is chosen.
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

  /// \returns why no minion may run the service under \p config; nothing when
  /// one may.
  std::optional<refusal> Obstacle(const cluster_config& config) const;

  /// Notes whether a minion may run the service.
  /// \returns since when none may.
  std::optional<steady_time> UpdateObstacle(const cluster_config& config,
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

  std::optional<steady_time> obstacle_since() const { return obstacle_since_; }

  /// \returns true when the run times of waiting tasks are more than the
  /// declared ones.
  bool has_learned_times() const { return has_learned_times_; }
  void set_has_learned_times() { has_learned_times_ = true; }

  bool needs_pass() const { return needs_pass_; }
  void set_needs_pass(bool needed) { needs_pass_ = needed; }

 private:
  std::string service_;
  std::vector<agent_session*> minions_;
  team_queues queues_;
  std::size_t waiting_ = 0;
  bool needs_pass_ = false;
  bool has_learned_times_ = false;
  std::optional<steady_time> obstacle_since_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_SERVICE_POOL_H_
