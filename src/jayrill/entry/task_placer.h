#ifndef JAYRILL_ENTRY_TASK_PLACER_H_
#define JAYRILL_ENTRY_TASK_PLACER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jayrill/entry/service_pool.h"
#include "jayrill/placement/minion_view.h"
#include "jayrill/placement/near_place.h"
#include "jayrill/placement/placement_strategy.h"

namespace jayrill {

/// Places the waiting tasks of a service on minions.
///
/// Used on the dispatcher thread only. A pass makes the views of the minions
/// once and ends as soon as no minion can take a start, so its cost does not
/// depend on the length of the queue.
class task_placer {
 public:
  /// \returns true when \p team may have one more task running.
  using quota_check = std::function<bool(const std::string& team)>;
  /// \returns true when \p task may be started now.
  using task_check = std::function<bool(const queued_task& task)>;
  /// \returns when the job of \p task is expected to end.
  using job_end_lookup = std::function<steady_time(const queued_task& task)>;
  /// How the rack of its minion affects a start.
  struct start_place {
    /// Run time relative to that in the best rack.
    double run_time_factor = 1;
    /// Its wait for a minion in that rack; empty: it has not waited.
    std::optional<near_wait_end> near_wait = std::nullopt;
  };
  /// Sends \p task to \p session.
  using start_sender = std::function<
      void(const queued_task& task, agent_session&, const start_place& place)>;

  /// \p remote_factor: see near_place.
  explicit task_placer(std::unique_ptr<placement_strategy> strategy,
                       double remote_factor = 1)
      : strategy_(std::move(strategy)), near_place_(remote_factor) {}

  /// \returns true when the strategy assigns tasks to minions at once, so that
  /// they wait at the agents and not in the entry's queue.
  bool BindsEarly() const { return strategy_->BindsEarly(); }

  /// Runs one pass: sends the waiting tasks of \p pool that can start now.
  void PlaceTasks(service_pool& pool,
                  const cluster_config& config,
                  steady_time now,
                  const quota_check& may_start,
                  const task_check& is_due,
                  const job_end_lookup& expected_end,
                  const start_sender& send_task);

 private:
  /// Position in the queue of one team, at the next task to look at.
  struct queue_cursor {
    const std::string* team = nullptr;
    task_queue* queue = nullptr;
    task_queue::const_iterator position;
  };

  void MakeViews(const service_pool& pool,
                 const cluster_config& config,
                 steady_time now);
  void MakeCursors(service_pool& pool, const quota_check& may_start);
  /// Moves the tasks that cannot end by their due time behind all others.
  void DeferLate(service_pool& pool, steady_time now);
  bool AnyCanStart() const;
  queue_cursor* NextCursor();
  /// \returns the choice for \p task among the present views.
  std::optional<placement_choice> Prefer(const queued_task& task,
                                         steady_time expected_end,
                                         steady_time now);
  /// Counts \p task as queued at the minion with the view \p index, for which
  /// it waits.
  void Reserve(std::size_t index, const queued_task& task);
  /// \returns for how long earlier passes have skipped \p task; zero if they
  /// have not.
  std::chrono::microseconds TimeSinceSkipped(const queued_task& task,
                                             steady_time now) const;

  std::unique_ptr<placement_strategy> strategy_;
  near_place near_place_;
  using task_key = std::pair<job_id, std::uint32_t>;

  /// Since when the tasks that the last pass skipped have waited although a
  /// slot was free.
  std::map<task_key, steady_time> skipped_since_;
  // Used within a pass only; members so that passes reuse their memory.
  std::vector<minion_view> views_;
  std::vector<agent_session*> sessions_;
  std::vector<queue_cursor> cursors_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_TASK_PLACER_H_
