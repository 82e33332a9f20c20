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

/// What a strategy knows of a task.
struct task_demand {
  /// Expected run time on the average minion.
  std::chrono::microseconds run_time{};
  /// Time in which the task may end without delaying its job: its other tasks
  /// are expected to need as long. Negative when the job is late.
  std::chrono::microseconds slack{};
  /// How long the task has waited for a minion while others had a free slot.
  std::chrono::microseconds waited{};
  /// The task has failed before; another failure may be one too many.
  bool has_failed = false;
  resource_amount needs{};

  auto operator<=>(const task_demand&) const = default;
};

/// The minion that a task should run on.
struct placement_choice {
  std::size_t index = 0;   ///< In the minions that were offered.
  bool start_now = false;  ///< False: the task should wait for it.

  auto operator<=>(const placement_choice&) const = default;
};

/// Chooses the minion for the next task of the queue.
///
/// Strategies differ in one more point: an early-binding strategy sends every
/// task at once and lets it queue at the agent; a late-binding one keeps tasks
/// in the queue of the entry until a slot is free or nearly free.
class placement_strategy {
 public:
  virtual ~placement_strategy() = default;

  /// \param task what is known of the task.
  /// \param minions the minions that may run it, in any order.
  /// \returns the best one, which may be one to wait for, or nothing when none
  /// may get the task.
  virtual std::optional<placement_choice> Prefer(
      const task_demand& task,
      std::span<const minion_view> minions) = 0;

  /// \returns the index in \p minions of the one that Prefer chooses, or
  /// nothing when the task should wait.
  std::optional<std::size_t> Choose(const task_demand& task,
                                    std::span<const minion_view> minions) {
    const auto choice = Prefer(task, minions);
    return choice && choice->start_now ? std::optional(choice->index)
                                       : std::nullopt;
  }

  /// \returns true when tasks must not wait in the entry's queue.
  virtual bool BindsEarly() const = 0;
};

/// \param name one of `jayrill`, `random`, `round_robin`, `least_of_two`.
/// \returns the strategy, or an error kInvalidArgument that lists the names.
result<std::unique_ptr<placement_strategy>> MakePlacementStrategy(
    std::string_view name,
    const random_source& random);

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_PLACEMENT_STRATEGY_H_
