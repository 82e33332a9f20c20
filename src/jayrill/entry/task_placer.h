#ifndef JAYRILL_ENTRY_TASK_PLACER_H_
#define JAYRILL_ENTRY_TASK_PLACER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "jayrill/entry/service_pool.h"
#include "jayrill/placement/minion_view.h"
#include "jayrill/placement/placement_strategy.h"

namespace jayrill {

/// Binds waiting tasks of a service to minions.
///
/// The views of the minions are made once a pass, and a pass ends as soon as
/// no minion can take a start, so its cost does not depend on the length of
/// the queue.
class task_placer {
 public:
  /// \returns true when \p team may have one more task running.
  using quota_check = std::function<bool(const std::string& team)>;
  /// \returns when the job of \p task is expected to end.
  using job_end = std::function<steady_time(const queued_task& task)>;
  /// Sends \p task to \p session.
  using send = std::function<void(const queued_task& task, agent_session&)>;

  explicit task_placer(std::unique_ptr<placement_strategy> strategy)
      : strategy_(std::move(strategy)) {}

  /// \returns true when tasks must not wait in the entry's queue.
  bool BindsEarly() const { return strategy_->BindsEarly(); }

  /// Places what can be placed of \p pool now.
  void Run(service_pool& pool,
           const cluster_config& config,
           steady_time now,
           const quota_check& may_start,
           const job_end& expected_end,
           const send& send_task);

 private:
  /// Position in the queue of one team.
  struct cursor {
    const std::string* team = nullptr;
    task_queue* queue = nullptr;
    task_queue::const_iterator position;
  };

  void MakeViews(const service_pool& pool,
                 const cluster_config& config,
                 steady_time now);
  void MakeCursors(service_pool& pool, const quota_check& may_start);
  void DeferLate(service_pool& pool, steady_time now);
  bool AnyCanStart() const;
  cursor* NextCursor();
  void Reserve(std::size_t index, const queued_task& task);
  std::chrono::microseconds Waited(const queued_task& task,
                                   steady_time now) const;

  std::unique_ptr<placement_strategy> strategy_;
  using task_key = std::pair<job_id, std::uint32_t>;

  /// Since when the tasks that the last pass passed over have waited although
  /// a slot was free.
  std::map<task_key, steady_time> passed_over_;
  // Kept between passes for their memory only.
  std::vector<minion_view> views_;
  std::vector<agent_session*> sessions_;
  std::vector<cursor> cursors_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_TASK_PLACER_H_
