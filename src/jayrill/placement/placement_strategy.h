#ifndef JAYRILL_PLACEMENT_PLACEMENT_STRATEGY_H_
#define JAYRILL_PLACEMENT_PLACEMENT_STRATEGY_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "jayrill/base/error.h"
#include "jayrill/base/random_source.h"
#include "jayrill/placement/minion_view.h"

namespace jayrill {

/// What a strategy knows of the task to place.
struct task_demand {
  /// Expected run time on the average minion.
  std::chrono::microseconds run_time{};
  /// Time that the task may take from now on without delaying its job, because
  /// other tasks of the job are expected to take as long. Negative when the job
  /// is late.
  std::chrono::microseconds slack{};
  /// How long the task has waited for a preferred minion although another one
  /// had a free slot.
  std::chrono::microseconds waited{};
  /// The task has failed before. It is not used for trials, because another
  /// failure may fail its job.
  bool has_failed = false;
  resource_amount needs{};

  auto operator<=>(const task_demand&) const = default;
};

/// The minion that a strategy prefers for a task.
struct placement_choice {
  std::size_t index = 0;   ///< Index in the minions passed to Prefer.
  bool start_now = false;  ///< False: the task should wait for this minion.

  auto operator<=>(const placement_choice&) const = default;
};

/// Chooses the minion for the next task of the queue.
///
/// An early-binding strategy sends every task immediately and lets it wait in
/// the queue of the agent. A late-binding strategy keeps tasks in the queue of
/// the entry until a slot is free or about to become free. Strategies keep
/// state between calls and are not thread-safe.
class placement_strategy {
 public:
  virtual ~placement_strategy() = default;

  /// \param minions the minions that may run \p task, in any order.
  /// \returns the preferred minion, which may be one to wait for, or nothing
  /// when no minion may get the task.
  virtual std::optional<placement_choice> Prefer(
      const task_demand& task,
      std::span<const minion_view> minions) = 0;

  /// \returns the index in \p minions of the minion that should get the task
  /// now, or nothing when the task should wait.
  std::optional<std::size_t> Choose(const task_demand& task,
                                    std::span<const minion_view> minions) {
    const auto choice = Prefer(task, minions);
    return choice && choice->start_now ? std::optional(choice->index)
                                       : std::nullopt;
  }

  /// \returns true when the strategy binds early: tasks are sent immediately
  /// and do not wait in the queue of the entry.
  virtual bool BindsEarly() const = 0;
};

/// \param name one of `jayrill`, `random`, `round_robin`, `least_of_two`.
/// \returns the strategy, or an error kInvalidArgument that lists the names.
result<std::unique_ptr<placement_strategy>> MakePlacementStrategy(
    std::string_view name,
    const random_source& random);

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_PLACEMENT_STRATEGY_H_
