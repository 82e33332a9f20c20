#ifndef JAYRILL_PLACEMENT_NEAR_PLACE_H_
#define JAYRILL_PLACEMENT_NEAR_PLACE_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"
#include "jayrill/placement/minion_view.h"
#include "jayrill/placement/placement_strategy.h"
#include "jayrill/placement/rack_id.h"

namespace jayrill {

/// A task that takes longer when it does not run in its rack.
struct near_task {
  job_id job;
  std::uint32_t index = 0;
  rack_id rack;  ///< Where it runs fastest; 0: with the others of its job.
  /// Tasks of the job that should run in one rack; 0: they need not.
  std::uint32_t group_size = 0;
  steady_time arrival;

  auto operator<=>(const near_task&) const = default;
};

/// How a wait for a near place has ended.
struct near_wait_end {
  std::chrono::microseconds waited{};
  bool is_near = false;
  /// The near place was worth the wait: the task ends sooner than on the far
  /// place that it could have had.
  bool has_paid = false;

  auto operator<=>(const near_wait_end&) const = default;
};

/// Decides whether a task waits for a minion in its rack or runs at once in
/// another rack, where it takes remote_factor times as long.
///
/// A task waits while the expected wait and the run on the near minion end
/// before the far run would. It stops waiting when it is as old as the time
/// that the near place saves, so that it takes at most twice as long as with
/// the better choice, however wrong the estimates are. A place that waiting
/// tasks are ahead for counts as free later, so that a rack with many of them
/// does not build up a queue: the caller has to add their run times to
/// minion_view::time_until_free.
///
/// How long waits take compared with their estimates is learned for each rack.
/// Several entries may wait for the same place without knowing of each other;
/// their estimates then turn out too short and are corrected by it.
///
/// Not thread-safe.
class near_place {
 public:
  /// \p remote_factor: run time in another rack relative to that in the
  /// preferred one; 1 or less: racks do not matter.
  explicit near_place(double remote_factor) : remote_factor_(remote_factor) {}

  /// \returns true when racks matter to \p task.
  bool Concerns(const near_task& task) const {
    return remote_factor_ > 1 && (task.rack.value != 0 || task.group_size > 1);
  }

  /// \returns the choice of \p strategy for \p task among \p minions, with the
  /// run times that the task has there.
  std::optional<placement_choice> Prefer(const near_task& task,
                                         const task_demand& demand,
                                         std::span<const minion_view> minions,
                                         steady_time now,
                                         placement_strategy& strategy);

  /// Records that \p task was started on a minion in \p rack.
  /// \returns how its wait has ended, or nothing when it has not waited.
  std::optional<near_wait_end> OnStarted(const near_task& task,
                                         rack_id rack,
                                         steady_time now);

  /// \returns the rack in which \p task runs fastest: its own, or the one that
  /// was chosen for its job.
  rack_id RackOf(const near_task& task) const;

  /// \returns run time in \p rack relative to that in the best rack.
  double RunTimeFactor(const near_task& task, rack_id rack) const;

 private:
  using task_key = std::pair<job_id, std::uint32_t>;
  struct begun_wait {
    steady_time begin;
    std::chrono::microseconds expected{};
    /// Run time that the near place saves.
    std::chrono::microseconds saved{};
    rack_id rack;
  };
  /// A far place that a task could have, and the near one that it may wait for.
  struct alternatives {
    placement_choice near;
    placement_choice far;
    double near_run_micros = 0;
    double far_run_micros = 0;
    double wait_micros = 0;
  };

  /// Chooses the rack in which the last task of a group would end first.
  void ChooseRackOfGroup(const near_task& task,
                         const task_demand& demand,
                         std::span<const minion_view> minions,
                         steady_time now);
  /// \returns the choice of \p strategy among the minions in \p rack, or among
  /// those outside it, as an index in all of \p minions.
  std::optional<placement_choice> PreferAmong(
      bool in_rack,
      rack_id rack,
      const task_demand& demand,
      std::span<const minion_view> minions,
      placement_strategy& strategy);
  /// \returns true when \p task should wait for the near place.
  static bool PaysToWait(const alternatives& options,
                         const task_demand& demand,
                         std::chrono::microseconds age);
  void BeginWait(const near_task& task,
                 const alternatives& options,
                 rack_id rack,
                 steady_time now);
  /// Updates the ratio of waits to their estimates in \p rack.
  void Learn(rack_id rack, double ratio);
  /// \returns the ratio that was learned for \p rack; 1 when there is none.
  double Correction(rack_id rack) const;
  void ForgetOld(steady_time now);

  double remote_factor_;
  std::map<task_key, begun_wait> waits_;
  std::map<rack_id, double> log_corrections_;
  /// The rack that was chosen for a job, and when.
  std::map<job_id, std::pair<rack_id, steady_time>> groups_;
  // Used within a call only; members so that calls reuse their memory.
  std::vector<minion_view> views_;
  std::vector<std::size_t> indices_;
};

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_NEAR_PLACE_H_
