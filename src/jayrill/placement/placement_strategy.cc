#include "jayrill/placement/placement_strategy.h"

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace jayrill {

namespace {

/// Binds each task at once to a minion drawn at random.
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

/// Binds each task at once to the minions in turn.
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

/// Binds each task at once to the less loaded of two minions drawn at random.
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

/// Binds late. A minion that is due for a trial gets the next task: it would
/// otherwise stay without work for as long as a faster one is free. A task with
/// slack goes to the slowest free minion that ends it in time, so that fast
/// slots stay free for the tasks on which jobs wait. Any other goes to the
/// minion with the earliest expected finish, and leaves a slow free slot unused
/// when a faster one is expected to finish sooner.
class earliest_finish_strategy final : public placement_strategy {
 public:
  std::optional<placement_choice> Prefer(
      const task_demand& task,
      std::span<const minion_view> minions) override {
    if (const auto trial = TrialDue(task, minions)) {
      return trial;
    }
    const auto within_slack = SlowestInTime(task, minions);
    return within_slack ? within_slack : EarliestFinish(task, minions);
  }

  bool BindsEarly() const override { return false; }

 private:
  /// Run times of one kind differ; a task is taken to need this part more when
  /// its slack is used.
  static constexpr double kSlackMargin = 1.2;

  static std::optional<placement_choice> TrialDue(
      const task_demand& task,
      std::span<const minion_view> minions) {
    for (std::size_t i = 0; i < minions.size() && !task.has_failed; ++i) {
      if (minions[i].is_trial_due && minions[i].HasFreeSlot(task.needs)) {
        return placement_choice{i, true};
      }
    }
    return std::nullopt;
  }

  static std::optional<placement_choice> SlowestInTime(
      const task_demand& task,
      std::span<const minion_view> minions) {
    std::optional<placement_choice> best;
    const double limit =
        static_cast<double>(task.slack.count()) /
        (kSlackMargin * static_cast<double>(task.run_time.count() + 1));
    for (std::size_t i = 0; i < minions.size(); ++i) {
      const minion_view& minion = minions[i];
      if (!minion.HasFreeSlot(task.needs) || minion.slowness > limit) {
        continue;
      }
      if (!best || minion.slowness > minions[best->index].slowness) {
        best = placement_choice{i, true};
      }
    }
    return best;
  }

  /// The minion with the earliest finish among those that were offered.
  struct finish_candidate {
    std::optional<placement_choice> choice;
    double finish = std::numeric_limits<double>::infinity();
    double run = 0;

    void Offer(std::size_t index, double end, double run_time, bool start_now) {
      if (end < finish) {
        choice = placement_choice{index, start_now};
        finish = end;
        run = run_time;
      }
    }
  };

  /// Waiting for a minion is given up once it has taken as long as the best
  /// free slot would have taken more. The wait then costs at most twice the
  /// better choice, however wrong the estimates are.
  static std::optional<placement_choice> EarliestFinish(
      const task_demand& task,
      std::span<const minion_view> minions) {
    const auto run_time = static_cast<double>(task.run_time.count());
    finish_candidate best;
    finish_candidate best_free;
    for (std::size_t i = 0; i < minions.size(); ++i) {
      const minion_view& minion = minions[i];
      if (minion.start_limit == 0) {
        continue;
      }
      const bool is_free = minion.HasFreeSlot(task.needs);
      const double wait = is_free ? 0.0 : Wait(minion, task.needs);
      const double run = run_time * minion.slowness;
      best.Offer(i, wait + run, run, minion.CanStart(task.needs));
      if (is_free) {
        best_free.Offer(i, run, run, true);
      }
    }
    if (!best.choice) {
      return std::nullopt;
    }
    if (!best_free.choice) {
      return best.choice;
    }
    if (best.choice->index == best_free.choice->index) {
      return LongestIdle(task, minions, best_free.finish);
    }
    // A start in the queue of an agent cannot use the slots that are free
    // elsewhere when the wait turns out to be longer, so the task waits here.
    const bool has_waited_enough =
        static_cast<double>(task.waited.count()) >= best_free.run - best.run;
    return has_waited_enough ? *best_free.choice
                             : placement_choice{best.choice->index, false};
  }

  /// Estimates of finishes that differ by less say nothing; without a rotation
  /// among them one minion would get all the work of a small load.
  static constexpr double kSimilarFinish = 1.1;

  /// \returns the minion with a free slot and a finish similar to \p best that
  /// has had no start for the longest time.
  static std::optional<placement_choice> LongestIdle(
      const task_demand& task,
      std::span<const minion_view> minions,
      double best) {
    std::optional<placement_choice> chosen;
    for (std::size_t i = 0; i < minions.size(); ++i) {
      const minion_view& minion = minions[i];
      const double finish =
          static_cast<double>(task.run_time.count()) * minion.slowness;
      if (!minion.HasFreeSlot(task.needs) || finish > best * kSimilarFinish) {
        continue;
      }
      if (!chosen || minion.last_start < minions[chosen->index].last_start) {
        chosen = placement_choice{i, true};
      }
    }
    return chosen;
  }

  /// A minion in slow start or trial frees no slot for this entry before a
  /// result; its expected time is not known, so a typical one is assumed.
  static double Wait(const minion_view& minion, const resource_amount& needs) {
    constexpr double kUnknownWaitMicros = 100'000;
    const auto expected = static_cast<double>(minion.expected_free.count());
    return minion.HasRoom(needs) ? kUnknownWaitMicros : expected;
  }
};

using strategy_factory =
    std::unique_ptr<placement_strategy> (*)(const random_source&);

struct named_strategy {
  std::string_view name;
  strategy_factory make;
};

template <typename Strategy>
std::unique_ptr<placement_strategy> Make(const random_source& random) {
  if constexpr (std::is_constructible_v<Strategy, random_source>) {
    return std::make_unique<Strategy>(random);
  } else {
    return std::make_unique<Strategy>();
  }
}

constexpr std::array<named_strategy, 4> kStrategies{{
    {"jayrill", &Make<earliest_finish_strategy>},
    {"random", &Make<random_strategy>},
    {"round_robin", &Make<round_robin_strategy>},
    {"least_of_two", &Make<least_of_two_strategy>},
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
