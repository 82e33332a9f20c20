#include "jayrill/placement/near_place.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jayrill {

namespace {

using std::chrono::microseconds;

/// Weight of the latest wait in the correction of a rack.
constexpr double kNewestWeight = 0.25;

/// Bounds of the correction, as a factor in either direction.
constexpr double kMostCorrection = 4;

/// Waits and groups of jobs that have ended otherwise are dropped after this
/// time. No task waits for a place for longer.
constexpr std::chrono::seconds kForgetAfter{60};

microseconds ToMicros(double micros) {
  return microseconds(std::llround(micros));
}

double RunMicros(const task_demand& demand, const minion_view& minion) {
  return static_cast<double>(demand.run_time.count()) * minion.slowness;
}

/// \returns how many tasks with \p needs \p minion can take now.
std::size_t FreePlaces(const minion_view& minion,
                       const resource_amount& needs) {
  if (!minion.HasFreeSlot(needs)) {
    return 0;
  }
  std::uint32_t places = minion.slots - minion.Load();
  if (minion.room.cpu_millis > 0 && needs.cpu_millis > 0) {
    places =
        std::min(places, (minion.room.cpu_millis - minion.used.cpu_millis) /
                             needs.cpu_millis);
  }
  return places;
}

/// What a rack offers to a group of tasks.
struct rack_offer {
  /// When each of its places comes free, from now.
  std::vector<double> free_at_micros;
  double most_micros = 0;  ///< Longest run time on one of its minions.
};

/// \returns the time until all \p size tasks of a group have ended in a rack
/// with \p offer.
double GroupEndMicros(rack_offer& offer, std::size_t size) {
  if (offer.free_at_micros.empty()) {
    return std::numeric_limits<double>::infinity();
  }
  std::sort(offer.free_at_micros.begin(), offer.free_at_micros.end());
  // Each place is free again after a run.
  const std::size_t last = size - 1;
  const std::size_t places = offer.free_at_micros.size();
  const std::size_t runs = last / places + 1;
  return offer.free_at_micros[last % places] +
         static_cast<double>(runs) * offer.most_micros;
}

}  // namespace

std::optional<placement_choice> near_place::PreferAmong(
    bool in_rack,
    rack_id rack,
    const task_demand& demand,
    std::span<const minion_view> minions,
    placement_strategy& strategy) {
  views_.clear();
  indices_.clear();
  for (std::size_t i = 0; i < minions.size(); ++i) {
    if ((minions[i].rack == rack) == in_rack) {
      views_.push_back(minions[i]);
      indices_.push_back(i);
    }
  }
  auto choice = strategy.Prefer(demand, views_);
  if (choice) {
    choice->index = indices_[choice->index];
  }
  return choice;
}

std::optional<placement_choice> near_place::Prefer(
    const near_task& task,
    const task_demand& demand,
    std::span<const minion_view> minions,
    steady_time now,
    placement_strategy& strategy) {
  if (task.rack.value == 0) {
    ChooseRackOfGroup(task, demand, minions, now);
  }
  const rack_id rack = RackOf(task);
  if (rack.value == 0) {
    return strategy.Prefer(demand, minions);
  }
  const auto near = PreferAmong(true, rack, demand, minions, strategy);
  if (near && near->start_now) {
    return near;
  }
  task_demand far_demand = demand;
  far_demand.run_time =
      ToMicros(static_cast<double>(demand.run_time.count()) * remote_factor_);
  const auto far = PreferAmong(false, rack, far_demand, minions, strategy);
  if (!near || !far || !far->start_now) {
    return near ? near : far;
  }
  alternatives options;
  options.near = *near;
  options.far = *far;
  options.near_run_micros = RunMicros(demand, minions[near->index]);
  options.far_run_micros = RunMicros(far_demand, minions[far->index]);
  options.wait_micros =
      Correction(rack) *
      static_cast<double>(minions[near->index].time_until_free.count());
  const auto age = std::chrono::duration_cast<microseconds>(now - task.arrival);
  if (!PaysToWait(options, demand, age)) {
    return far;
  }
  BeginWait(task, options, rack, now);
  return placement_choice{near->index, false};
}

bool near_place::PaysToWait(const alternatives& options,
                            const task_demand& demand,
                            microseconds age) {
  const double saved = options.far_run_micros - options.near_run_micros;
  if (options.wait_micros >= saved ||
      static_cast<double>(age.count()) >= saved) {
    return false;
  }
  // The far run must still end in time when the near place does not come free,
  // unless it would be late already.
  const auto slack = static_cast<double>(demand.slack.count());
  const bool far_is_in_time = options.far_run_micros <= slack;
  const bool near_is_in_time =
      options.wait_micros + options.near_run_micros <= slack;
  return near_is_in_time || !far_is_in_time;
}

void near_place::BeginWait(const near_task& task,
                           const alternatives& options,
                           rack_id rack,
                           steady_time now) {
  ForgetOld(now);
  waits_.try_emplace(
      task_key(task.job, task.index),
      begun_wait{now, ToMicros(options.wait_micros),
                 ToMicros(options.far_run_micros - options.near_run_micros),
                 rack});
}

std::optional<near_wait_end> near_place::OnStarted(const near_task& task,
                                                   rack_id rack,
                                                   steady_time now) {
  const auto found = waits_.find(task_key(task.job, task.index));
  if (found == waits_.end()) {
    return std::nullopt;
  }
  const begun_wait wait = found->second;
  waits_.erase(found);
  near_wait_end end;
  end.waited = std::chrono::duration_cast<microseconds>(now - wait.begin);
  end.is_near = rack == wait.rack;
  end.has_paid = end.is_near && end.waited < wait.saved;
  const double ratio =
      static_cast<double>(std::max<std::int64_t>(end.waited.count(), 1)) /
      static_cast<double>(std::max<std::int64_t>(wait.expected.count(), 1));
  // A task that went far has not seen the end of the wait, which is longer.
  if (end.is_near || ratio > 1) {
    Learn(wait.rack, ratio);
  }
  return end;
}

void near_place::Learn(rack_id rack, double ratio) {
  // The estimate that the ratio refers to was corrected already.
  const double bound = std::log(kMostCorrection);
  double& correction = log_corrections_[rack];
  correction =
      std::clamp(correction + kNewestWeight * std::log(ratio), -bound, bound);
}

double near_place::Correction(rack_id rack) const {
  const auto found = log_corrections_.find(rack);
  return found == log_corrections_.end() ? 1 : std::exp(found->second);
}

rack_id near_place::RackOf(const near_task& task) const {
  if (task.rack.value != 0) {
    return task.rack;
  }
  const auto found = groups_.find(task.job);
  return found == groups_.end() ? rack_id{} : found->second.first;
}

double near_place::RunTimeFactor(const near_task& task, rack_id rack) const {
  if (!Concerns(task)) {
    return 1;
  }
  const rack_id best = RackOf(task);
  // A group without a rack is spread.
  return best == rack ? 1 : remote_factor_;
}

void near_place::ChooseRackOfGroup(const near_task& task,
                                   const task_demand& demand,
                                   std::span<const minion_view> minions,
                                   steady_time now) {
  if (groups_.contains(task.job)) {
    return;
  }
  ForgetOld(now);
  std::map<rack_id, rack_offer> offers;
  rack_offer all;
  for (const minion_view& minion : minions) {
    if (minion.start_limit == 0) {
      continue;
    }
    const std::size_t places = FreePlaces(minion, demand.needs);
    for (rack_offer* const offer : {&offers[minion.rack], &all}) {
      offer->free_at_micros.insert(offer->free_at_micros.end(), places, 0.0);
      offer->most_micros =
          std::max(offer->most_micros, RunMicros(demand, minion));
      if (places == 0 && minion.SlotsFor(demand.needs) >= 1) {
        offer->free_at_micros.push_back(
            static_cast<double>(minion.time_until_free.count()));
      }
    }
  }
  offers.erase(rack_id{});
  all.most_micros *= remote_factor_;
  double best_micros = GroupEndMicros(all, task.group_size);
  rack_id best;
  for (auto& [rack, offer] : offers) {
    const double end_micros = GroupEndMicros(offer, task.group_size);
    if (end_micros < best_micros) {
      best_micros = end_micros;
      best = rack;
    }
  }
  groups_.emplace(task.job, std::pair(best, now));
}

void near_place::ForgetOld(steady_time now) {
  std::erase_if(waits_, [now](const auto& item) {
    return now - item.second.begin > kForgetAfter;
  });
  std::erase_if(groups_, [now](const auto& item) {
    return now - item.second.second > kForgetAfter;
  });
}

}  // namespace jayrill
