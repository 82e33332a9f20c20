#include "jayrill/entry/task_placer.h"

#include <algorithm>
#include <utility>

namespace jayrill {

namespace {

/// Most tasks that one pass skips, because it is better for them to wait for a
/// busy minion. Each reserves a share of that minion, so that slow free slots
/// are used when the queue is long.
constexpr std::size_t kMaxSkippedTasks = 64;

near_task NearTask(const queued_task& task) {
  return {task.job, task.index, task.rack, task.group_size, task.arrival};
}

}  // namespace

void task_placer::PlaceTasks(service_pool& pool,
                             const cluster_config& config,
                             steady_time now,
                             const quota_check& may_start,
                             const task_check& is_due,
                             const job_end_lookup& expected_end,
                             const start_sender& send_task) {
  MakeViews(pool, config, now);
  const bool binds_late = !strategy_->BindsEarly();
  if (views_.empty() || (binds_late && !AnyCanStart())) {
    return;
  }
  DeferLate(pool, now);
  MakeCursors(pool, may_start);
  std::map<task_key, steady_time> skipped_since;
  while (queue_cursor* const next = NextCursor()) {
    const queued_task task = *next->position;
    if (!is_due(task)) {
      ++next->position;
      continue;
    }
    const auto choice = Prefer(task, expected_end(task), now);
    if (!choice) {
      break;
    }
    if (!choice->start_now) {
      Reserve(choice->index, task);
      ++next->position;
      skipped_since.emplace(task_key(task.job, task.index),
                            now - TimeSinceSkipped(task, now));
      if (skipped_since.size() == kMaxSkippedTasks) {
        break;
      }
      continue;
    }
    next->position = pool.Remove(*next->queue, next->position);
    agent_session& session = *sessions_[choice->index];
    const near_task near = NearTask(task);
    send_task(task, session,
              {near_place_.RunTimeFactor(near, session.rack()),
               near_place_.OnStarted(near, session.rack(), now)});
    views_[choice->index] = session.View(now, kLookahead);
    if (!may_start(*next->team)) {
      next->position = next->queue->end();
    }
    if (binds_late && !AnyCanStart()) {
      break;
    }
  }
  skipped_since_ = std::move(skipped_since);
}

std::optional<placement_choice> task_placer::Prefer(const queued_task& task,
                                                    steady_time expected_end,
                                                    steady_time now) {
  const auto slack =
      std::chrono::duration_cast<std::chrono::microseconds>(expected_end - now);
  const task_demand demand{task.run_time, slack, TimeSinceSkipped(task, now),
                           task.has_failed, task.needs};
  const near_task near = NearTask(task);
  return near_place_.Concerns(near)
             ? near_place_.Prefer(near, demand, views_, now, *strategy_)
             : strategy_->Prefer(demand, views_);
}

std::chrono::microseconds task_placer::TimeSinceSkipped(const queued_task& task,
                                                        steady_time now) const {
  const auto found = skipped_since_.find(task_key(task.job, task.index));
  return found == skipped_since_.end()
             ? std::chrono::microseconds{0}
             : std::chrono::duration_cast<std::chrono::microseconds>(
                   now - found->second);
}

void task_placer::MakeViews(const service_pool& pool,
                            const cluster_config& config,
                            steady_time now) {
  views_.clear();
  sessions_.clear();
  const profile_placement& limits = config.ProfileOf(pool.service()).placement;
  for (agent_session* const session : pool.minions()) {
    if (session->IsUsable(config.revision, now) &&
        service_pool::Satisfies(*session, limits)) {
      views_.push_back(session->View(now, kLookahead));
      sessions_.push_back(session);
    }
  }
}

void task_placer::MakeCursors(service_pool& pool,
                              const quota_check& may_start) {
  cursors_.clear();
  std::erase_if(pool.queues(),
                [](const auto& entry) { return entry.second.empty(); });
  for (auto& [team, queue] : pool.queues()) {
    if (may_start(team)) {
      cursors_.push_back({&team, &queue, queue.begin()});
    }
  }
}

void task_placer::DeferLate(service_pool& pool, steady_time now) {
  double min_slowness = views_.front().slowness;
  for (const minion_view& view : views_) {
    min_slowness = std::min(min_slowness, view.slowness);
  }
  for (auto& [team, queue] : pool.queues()) {
    queue.DeferLate(now, min_slowness);
  }
}

bool task_placer::AnyCanStart() const {
  return std::any_of(views_.begin(), views_.end(),
                     [](const minion_view& view) { return view.CanStart(); });
}

task_placer::queue_cursor* task_placer::NextCursor() {
  queue_cursor* best = nullptr;
  for (queue_cursor& candidate : cursors_) {
    if (candidate.position != candidate.queue->end() &&
        (best == nullptr ||
         task_queue::StartsBefore(*candidate.position, *best->position))) {
      best = &candidate;
    }
  }
  return best;
}

void task_placer::Reserve(std::size_t index, const queued_task& task) {
  minion_view& view = views_[index];
  const double share = static_cast<double>(task.run_time.count()) *
                       view.slowness / std::max(view.SlotsFor(task.needs), 1.0);
  view.time_until_free +=
      std::chrono::microseconds(static_cast<std::int64_t>(share));
}

}  // namespace jayrill
