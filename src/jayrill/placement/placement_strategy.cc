#include "jayrill/placement/placement_strategy.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace jayrill {

namespace {

/// Early binding to a random minion.
class random_strategy final : public placement_strategy {
 public:
  explicit random_strategy(const random_source& random) : random_(random) {}

  std::optional<placement_choice> Prefer(
      const task_demand& /*task*/,
      std::span<const minion_view> minions) override {
    if (minions.empty()) {
      return std::nullopt;
    }
    return placement_choice{random_.Below(minions.size()), true};
  }

  bool BindsEarly() const override { return true; }

 private:
  random_source random_;
};

/// Early binding to each minion in turn.
class round_robin_strategy final : public placement_strategy {
 public:
  std::optional<placement_choice> Prefer(
      const task_demand& /*task*/,
      std::span<const minion_view> minions) override {
    if (minions.empty()) {
      return std::nullopt;
    }
    return placement_choice{next_++ % minions.size(), true};
  }

  bool BindsEarly() const override { return true; }

 private:
  std::size_t next_ = 0;
};

/// Early binding to the less loaded of two random minions.
class least_of_two_strategy final : public placement_strategy {
 public:
  explicit least_of_two_strategy(const random_source& random)
      : random_(random) {}

  std::optional<placement_choice> Prefer(
      const task_demand& /*task*/,
      std::span<const minion_view> minions) override {
    if (minions.empty()) {
      return std::nullopt;
    }
    const std::size_t first = random_.Below(minions.size());
    const std::size_t second = random_.Below(minions.size());
    const bool second_is_less =
        RelativeLoad(minions[second]) < RelativeLoad(minions[first]);
    return placement_choice{second_is_less ? second : first, true};
  }

  bool BindsEarly() const override { return true; }

 private:
  static double RelativeLoad(const minion_view& minion) {
    return minion.slots == 0 ? std::numeric_limits<double>::infinity()
                             : static_cast<double>(minion.Load()) /
                                   static_cast<double>(minion.slots);
  }

  random_source random_;
};

/// Late binding, in this order:
/// 1. A minion that is due for a trial gets the next task. Otherwise it would
///    get none as long as a faster minion has a free slot.
/// 2. A task with slack goes to one of the slowest free minions that are
///    expected to finish it in time, so that fast slots stay free for the tasks
///    that determine when a job ends. Of similar minions, the less loaded of
///    two random ones is taken: entries that know the same of the minions would
///    otherwise all send to the same one.
/// 3. Any other task goes to the minion with the earliest expected finish. The
///    task waits for a busy fast minion when that is expected to finish sooner
///    than a free slow one.
class earliest_finish_strategy final : public placement_strategy {
 public:
  explicit earliest_finish_strategy(const random_source& random)
      : random_(random) {}

  std::optional<placement_choice> Prefer(
      const task_demand& task,
      std::span<const minion_view> minions) override {
    if (const auto trial = MinionDueForTrial(task, minions)) {
      return trial;
    }
    const auto within_slack = SlowestWithinSlack(task, minions);
    return within_slack ? within_slack : EarliestFinish(task, minions);
  }

  bool BindsEarly() const override { return false; }

 private:
  /// Run times within a kind vary, so a task has to fit into its slack with its
  /// expected run time multiplied by this factor.
  static constexpr double kSlackMargin = 1.2;

  static std::optional<placement_choice> MinionDueForTrial(
      const task_demand& task,
      std::span<const minion_view> minions) {
    for (std::size_t i = 0; i < minions.size() && !task.has_failed; ++i) {
      if (minions[i].is_trial_due && minions[i].HasFreeSlot(task.needs)) {
        return placement_choice{i, true};
      }
    }
    return std::nullopt;
  }

  /// Minions whose slowness differs by less than this factor count as similar.
  static constexpr double kSimilarSlowness = 1.3;

  std::optional<placement_choice> SlowestWithinSlack(
      const task_demand& task,
      std::span<const minion_view> minions) {
    const double max_slowness =
        static_cast<double>(task.slack.count()) /
        (kSlackMargin * static_cast<double>(task.run_time.count() + 1));
    suitable_.clear();
    double slowest = 0;
    for (std::size_t i = 0; i < minions.size(); ++i) {
      const minion_view& minion = minions[i];
      if (minion.HasFreeSlot(task.needs) && minion.slowness <= max_slowness) {
        suitable_.push_back(i);
        slowest = std::max(slowest, minion.slowness);
      }
    }
    std::erase_if(suitable_, [&](std::size_t i) {
      return minions[i].slowness * kSimilarSlowness < slowest;
    });
    if (suitable_.empty()) {
      return std::nullopt;
    }
    const std::size_t first = suitable_[random_.Below(suitable_.size())];
    const std::size_t second = suitable_[random_.Below(suitable_.size())];
    const bool second_is_less =
        minions[second].Utilisation() < minions[first].Utilisation();
    return placement_choice{second_is_less ? second : first, true};
  }

  /// The minion with the earliest expected finish among those passed to
  /// Consider. Times are in microseconds from now.
  struct finish_candidate {
    std::optional<placement_choice> choice;
    double finish_micros = std::numeric_limits<double>::infinity();
    double run_micros = 0;

    void Consider(std::size_t index,
                  double end_micros,
                  double run_time_micros,
                  bool start_now) {
      if (end_micros < finish_micros) {
        choice = placement_choice{index, start_now};
        finish_micros = end_micros;
        run_micros = run_time_micros;
      }
    }
  };

  /// A task stops waiting for a busy minion once it has waited for the
  /// difference between its run times on the best free minion and on the
  /// preferred one. So the task takes at most twice as long as with the better
  /// choice, even when the estimates are wrong.
  static std::optional<placement_choice> EarliestFinish(
      const task_demand& task,
      std::span<const minion_view> minions) {
    const auto average_run_micros = static_cast<double>(task.run_time.count());
    finish_candidate best;
    finish_candidate best_free;
    for (std::size_t i = 0; i < minions.size(); ++i) {
      const minion_view& minion = minions[i];
      if (minion.start_limit == 0) {
        continue;
      }
      const bool is_free = minion.HasFreeSlot(task.needs);
      const double wait_micros =
          is_free ? 0.0 : ExpectedWaitMicros(minion, task.needs);
      const double run_micros = average_run_micros * minion.slowness;
      best.Consider(i, wait_micros + run_micros, run_micros,
                    minion.CanStart(task.needs));
      if (is_free) {
        best_free.Consider(i, run_micros, run_micros, true);
      }
    }
    if (!best.choice) {
      return std::nullopt;
    }
    if (!best_free.choice) {
      return best.choice;
    }
    if (best.choice->index == best_free.choice->index) {
      return LongestIdle(task, minions, best_free.finish_micros);
    }
    // The task waits at the entry, not at the agent: if the wait gets longer
    // than expected, it can still go to a free slot of another minion.
    const bool has_waited_enough = static_cast<double>(task.waited.count()) >=
                                   best_free.run_micros - best.run_micros;
    return has_waited_enough ? *best_free.choice
                             : placement_choice{best.choice->index, false};
  }

  /// Expected finishes that differ by less than this factor count as equal,
  /// because the estimates are not more precise. Minions with equal finishes
  /// take turns; otherwise one minion would get all tasks under low load.
  static constexpr double kSimilarFinish = 1.1;

  /// \returns the minion whose last start is the longest ago, among those with
  /// a free slot and an expected finish similar to
  /// \p best_finish_micros.
  static std::optional<placement_choice> LongestIdle(
      const task_demand& task,
      std::span<const minion_view> minions,
      double best_finish_micros) {
    std::optional<placement_choice> chosen;
    for (std::size_t i = 0; i < minions.size(); ++i) {
      const minion_view& minion = minions[i];
      const double finish_micros =
          static_cast<double>(task.run_time.count()) * minion.slowness;
      if (!minion.HasFreeSlot(task.needs) ||
          finish_micros > best_finish_micros * kSimilarFinish) {
        continue;
      }
      if (!chosen || minion.last_start < minions[chosen->index].last_start) {
        chosen = placement_choice{i, true};
      }
    }
    return chosen;
  }

  /// \returns the expected time until the minion can run the task. A minion
  /// that has room but is at its start limit, in slow start or during a trial,
  /// becomes available with its next result. That time is not known, so a
  /// typical one is assumed.
  static double ExpectedWaitMicros(const minion_view& minion,
                                   const resource_amount& needs) {
    constexpr double kUnknownWaitMicros = 100'000;
    const auto expected = static_cast<double>(minion.time_until_free.count());
    return minion.HasRoom(needs) ? kUnknownWaitMicros : expected;
  }

  random_source random_;
  std::vector<std::size_t> suitable_;  ///< A member so that calls reuse it.
};

using strategy_factory =
    std::unique_ptr<placement_strategy> (*)(const random_source&);

struct named_strategy {
  std::string_view name;
  strategy_factory make;
};

template <typename Strategy>
std::unique_ptr<placement_strategy> MakeStrategy(const random_source& random) {
  if constexpr (std::is_constructible_v<Strategy, random_source>) {
    return std::make_unique<Strategy>(random);
  } else {
    return std::make_unique<Strategy>();
  }
}

constexpr std::array<named_strategy, 4> kStrategies{{
    {"jayrill", &MakeStrategy<earliest_finish_strategy>},
    {"random", &MakeStrategy<random_strategy>},
    {"round_robin", &MakeStrategy<round_robin_strategy>},
    {"least_of_two", &MakeStrategy<least_of_two_strategy>},
}};

}  // namespace

result<std::unique_ptr<placement_strategy>> MakePlacementStrategy(
    std::string_view name,
    const random_source& random) {
  std::string names;
  for (const named_strategy& strategy : kStrategies) {
    if (strategy.name == name) {
      return strategy.make(random);
    }
    names += names.empty() ? "" : ", ";
    names += strategy.name;
  }
  return MakeError(error_kind::kInvalidArgument,
                   "unknown placement strategy '" + std::string(name) + "'",
                   "use one of: " + names);
}

}  // namespace jayrill
