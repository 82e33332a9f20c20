#include <glog/logging.h>

#include <utility>

#include "jayrill/agent/agent_core.h"
#include "jayrill/agent/internal/durations.h"

namespace jayrill {

using agent::internal::Micros;
using agent::internal::Millis;

void agent_core::AdmitBatch(incarnation entry, const start_batch& batch) {
  if (CheckPause()) {
    // These starts are neither accepted nor reported: the reconnect fences
    // them, and the entry then knows that they have not run.
    return;
  }
  entry_session& session = sessions_[entry];
  const steady_time now = time_.Now();
  session.OnAlive(batch.placed.value_or(now));
  const bool is_late = IsLate(batch);
  if (is_late) {
    LOG(WARNING) << "agent: refusing starts that arrive late entry="
                 << ToString(entry) << " starts=" << batch.starts.size()
                 << " age_ms=" << Millis(now - *batch.placed).count();
  }
  for (const start_request& order : batch.starts) {
    if (order.max_wait.count() > 0) {
      DispatchWaiting();  // ExpectedWait needs to know what runs.
    }
    const auto decision = session.Admit(batch.epoch, order.number);
    if (decision != start_gate::decision::kAdmitted) {
      ++(decision == start_gate::decision::kDuplicate ? counters_.duplicates
                                                      : counters_.fenced);
      continue;
    }
    if (is_late) {
      Refuse(entry, order.number,
             {not_run_reason::kExpired, "the start has arrived too late"}, {});
    } else if (batch.revision < config_.revision) {
      Refuse(entry, order.number,
             {not_run_reason::kStaleConfig,
              "the entry's configuration is older than the agent's"},
             {});
    } else if (const auto why = FindRefusal(order, now + order.remaining)) {
      Refuse(entry, order.number, *why, {});
    } else if (session.retiring()) {
      Refuse(entry, order.number,
             {not_run_reason::kDraining, "the agent leaves this entry"}, {});
    } else if (WouldWaitTooLong(order)) {
      shares_.OnReturned(order);
      Refuse(entry, order.number, {not_run_reason::kBusy, "the minion is busy"},
             {});
    } else if (queue_.IsFull()) {
      Refuse(entry, order.number,
             {not_run_reason::kQueueFull, "the agent's queue is full"}, {});
    } else {
      Enqueue(entry, order, batch.placed.value_or(now));
    }
  }
  DispatchWaiting();
  host_.StatusChanged();
}

bool agent_core::IsLate(const start_batch& batch) const {
  return settings_.silence_timeout.count() > 0 && batch.placed &&
         time_.Now() - *batch.placed > settings_.silence_timeout;
}

bool agent_core::WouldWaitTooLong(const start_request& order) {
  if (order.max_wait.count() == 0) {
    return false;
  }
  // Its queue competes for the room from now on.
  const steady_time now = time_.Now();
  shares_.OnWaiting(order, now);
  const bool is_too_long = ExpectedWait(order) > order.max_wait;
  shares_.OnWaitEnded(order, now);
  return is_too_long;
}

void agent_core::Enqueue(incarnation entry,
                         const start_request& order,
                         steady_time placed) {
  const steady_time now = time_.Now();
  ++counters_.admitted;
  shares_.OnWaiting(order, now);
  queue_.Push({entry, order, now, now + order.remaining, placed});
}

std::optional<agent_core::refusal> agent_core::FindRefusal(
    const start_request& order,
    steady_time deadline) const {
  if (out_list_.IsOut(settings_.data_centre)) {
    return refusal{not_run_reason::kDataCentreOut, "the data centre is out"};
  }
  if (stopping_) {
    return refusal{not_run_reason::kDraining, "the agent is stopping"};
  }
  if (departure_.has_left() || (minion_ && minion_->draining)) {
    return refusal{not_run_reason::kDraining, "the minion is leaving"};
  }
  if (!IsAnnounced()) {
    return refusal{not_run_reason::kNoMinion, "no minion is announced"};
  }
  if (order.service != minion_->service) {
    return refusal{not_run_reason::kWrongService,
                   "the minion serves " + minion_->service};
  }
  if (deadline <= time_.Now()) {
    return refusal{not_run_reason::kExpired, "the deadline has passed"};
  }
  return std::nullopt;
}

void agent_core::Cancel(incarnation entry,
                        std::span<const start_number> numbers) {
  for (const start_number number : numbers) {
    const auto withdrawn = queue_.Withdraw(entry, number);
    if (withdrawn) {
      shares_.OnWaitEnded(withdrawn->order, time_.Now());
      Refuse(entry, number, {not_run_reason::kCancelled, "cancelled"},
             Micros(time_.Now() - withdrawn->arrived));
    }
  }
  const std::set<start_number> wanted(numbers.begin(), numbers.end());
  StopRuns([&](const running_call& run) {
    return run.entry == entry && wanted.contains(run.number);
  });
  host_.StatusChanged();
}

void agent_core::DispatchWaiting() {
  if (CheckPause()) {
    return;
  }
  LogContention();
  while (auto next = queue_.TakeNext(slots(), room(), StartsGoingFirst())) {
    shares_.OnWaitEnded(next->order, time_.Now());
    if (const auto why = FindRefusal(next->order, next->deadline)) {
      // TakeNext has marked the slot as busy.
      queue_.FreeSlot({}, next->order.needs);
      Refuse(next->entry, next->order.number, *why,
             Micros(time_.Now() - next->arrived));
      continue;
    }
    StartCall(std::move(*next));
  }
}

run_queue::start_check agent_core::StartsGoingFirst() const {
  if (!shares_.IsContended()) {
    return {};
  }
  return [this, now = time_.Now()](const start_request& order) {
    return shares_.IsBelowShare(order, now);
  };
}

void agent_core::LogContention() {
  const steady_time now = time_.Now();
  if (shares_.IsContended() == is_contended_ || !share_log_limit_.Allows(now)) {
    return;
  }
  is_contended_ = shares_.IsContended();
  LOG(INFO) << "agent: queues "
            << (is_contended_ ? "compete" : "no longer compete")
            << " for the room of the minion use=" << shares_.Describe(now)
            << share_log_limit_.TakeLinesLeftOutField();
}

void agent_core::StartCall(queued_start start) {
  const steady_time now = time_.Now();
  const run_charge charge = shares_.OnRunStarted(start.order, now);
  const run_guard_ptr guard(new run_guard(start.placed));
  const std::uint64_t call = running_.Add({
      .entry = start.entry,
      .generation = sessions_[start.entry].generation(),
      .number = start.order.number,
      .job_name = start.order.job_name,
      .task_index = start.order.task_index,
      .arrived = start.arrived,
      .released = now,
      .expected_end = now + start.order.expected_run,
      .typical_run = start.order.typical_run,
      .needs = start.order.needs,
      .guard = guard,
      .charge = charge,
  });
  ++counters_.calls;
  host_.Call({call, std::move(start.order), minion_->port, now, start.deadline,
              guard});
}

}  // namespace jayrill
