#include "jayrill/agent/agent_core.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "jayrill/agent/internal/durations.h"
#include "jayrill/config/config_codec.h"

namespace jayrill {

using agent::internal::Micros;

agent_core::agent_core(agent_settings settings,
                       const clock& time,
                       host& callbacks)
    : settings_(std::move(settings)),
      time_(time),
      host_(callbacks),
      pause_(time),
      queue_(settings_.queue_limit),
      crashes_(time),
      departure_(settings_.announce_ttl) {}

void agent_core::Announce(const announcement& minion) {
  if (!IsServiceKnown(minion.service)) {
    LOG_EVERY_N(WARNING, 20)
        << "agent: ignored an announcement instance=" << minion.instance
        << " the configuration does not name its service=" << minion.service;
    return;
  }
  const bool has_returned = departure_.has_left();
  if (!departure_.Accept(minion, time_.Now())) {
    return;
  }
  const bool is_same_minion = minion_ && minion_->instance == minion.instance &&
                              minion_->life == minion.life;
  if (has_returned || !IsAnnounced() || !is_same_minion ||
      minion_->draining != minion.draining) {
    LOG(INFO) << "agent: minion announced service=" << minion.service
              << " port=" << minion.port << " slots=" << minion.slots
              << " instance=" << minion.instance << " life=" << minion.life
              << " cpu_millis=" << minion.room.cpu_millis
              << " draining=" << minion.draining;
  }
  if (!is_same_minion) {
    pace_ = {};
  }
  minion_ = minion;
  if (minion_->draining) {
    RefuseAllWaiting({not_run_reason::kDraining, "the minion is leaving"});
  }
  announced_at_ = time_.Now();
  DispatchWaiting();
  host_.StatusChanged();
}

bool agent_core::IsServiceKnown(const std::string& service) const {
  return routed_services_.empty() || routed_services_.contains(service) ||
         (minion_ && minion_->service == service);
}

void agent_core::Leave() {
  LOG(INFO) << "agent: the minion leaves running=" << running_.size()
            << " queued=" << queue_.waiting();
  departure_.OnLeave(time_.Now());
  RefuseAllWaiting({not_run_reason::kDraining, "the minion is leaving"});
  host_.StatusChanged();
}

void agent_core::OfferConfig(const config_copy& offered) {
  if (offered.revision <= config_.revision) {
    return;
  }
  const auto decoded = UnpackConfig(offered.packed);
  if (!decoded || decoded->revision != offered.revision) {
    LOG(ERROR) << "config: ignored a malformed configuration revision="
               << offered.revision.value << " "
               << (decoded ? "the revision inside differs"
                           : ToString(decoded.error()));
    return;
  }
  config_ = offered;
  routed_services_.clear();
  for (const auto& [name, route] : decoded->routes) {
    routed_services_.insert(route.service);
  }
  LOG(INFO) << "config: adopted revision=" << config_.revision.value;
  OfferOutList(OutListOf(*decoded));
  host_.StatusChanged();
}

bool agent_core::OfferOutList(out_list list,
                              std::optional<steady_time> confirmed) {
  if (!out_list_.Offer(std::move(list), confirmed)) {
    return false;
  }
  const bool is_out = out_list_.IsOut(settings_.data_centre);
  LOG(INFO) << "config: data centres out="
            << out_list_.list().data_centres.size()
            << " revision=" << out_list_.list().revision.value
            << " data_centre_out=" << is_out;
  if (is_out) {
    RefuseAllWaiting(
        {not_run_reason::kDataCentreOut, "the data centre is out"});
  }
  host_.StatusChanged();
  return true;
}

void agent_core::OnResult(std::uint64_t call, task_result outcome) {
  running_call* const run = running_.Find(call);
  if (run == nullptr) {
    return;
  }
  run->run_time = outcome.run_time;
  // Counts also where nobody waits for the result any more: the caller may
  // submit the job again.
  crashes_.Add(run->job_name, run->task_index, outcome.crash);
  if (outcome.outcome == task_outcome::kSucceeded) {
    pace_.OnRunEnded(outcome.run_time, run->typical_run, time_.Now());
  }
  if (sessions_[run->entry].generation() != run->generation) {
    // The entry has closed the session that the start belongs to.
    ++counters_.dropped_results;
    return;
  }
  outcome.number = run->number;
  outcome.wait_time = Micros(run->released - run->arrived);
  Report(run->entry, std::move(outcome));
}

void agent_core::OnOrderLost(std::uint64_t call) {
  if (running_call* const run = running_.Find(call)) {
    run->is_order_lost = true;
  }
}

void agent_core::OnSlotFree(std::uint64_t call) {
  const running_call* const run = running_.Find(call);
  if (run == nullptr) {
    return;
  }
  queue_.FreeSlot(run->run_time, run->needs);
  shares_.OnRunEnded(run->charge, run->run_time, time_.Now());
  running_.Remove(call);
  DispatchWaiting();
  host_.StatusChanged();
}

void agent_core::RefuseWaiting(
    const std::function<bool(const queued_start&)>& matches,
    const refusal& why) {
  const steady_time now = time_.Now();
  for (const queued_start& start : queue_.WithdrawIf(matches)) {
    shares_.OnWaitEnded(start.order, now);
    if (why.reason == not_run_reason::kBusy) {
      shares_.OnReturned(start.order);
    }
    Refuse(start.entry, start.order.number, why, Micros(now - start.arrived));
  }
}

void agent_core::RefuseAllWaiting(const refusal& why) {
  RefuseWaiting([](const queued_start&) { return true; }, why);
}

void agent_core::RefuseWaitingOf(incarnation entry, const refusal& why) {
  RefuseWaiting(
      [entry](const queued_start& start) { return start.entry == entry; }, why);
}

void agent_core::Refuse(incarnation entry,
                        start_number number,
                        const refusal& why,
                        std::chrono::microseconds waited) {
  task_result outcome;
  outcome.number = number;
  outcome.outcome = task_outcome::kNotRun;
  outcome.reason = why.reason;
  outcome.message = why.message;
  outcome.wait_time = waited;
  Report(entry, std::move(outcome));
}

void agent_core::Report(incarnation entry, task_result outcome) {
  switch (outcome.outcome) {
    case task_outcome::kSucceeded:
      ++counters_.succeeded;
      break;
    case task_outcome::kFailed:
      ++counters_.failed;
      break;
    case task_outcome::kNotRun:
      ++counters_.not_run.at(static_cast<std::size_t>(outcome.reason));
      break;
    case task_outcome::kUnknown:
      ++counters_.unknown;
      break;
    case task_outcome::kInterrupted:
      ++counters_.interrupted;
      break;
  }
  sessions_[entry].AddResult(std::move(outcome));
  host_.ResultReady(entry);
}

bool agent_core::CheckPause() {
  if (!pause_.IsPaused()) {
    return false;
  }
  pause_.Tick();  // The next check must not report the same pause.
  DisconnectAfterPause();
  return true;
}

void agent_core::DisconnectAfterPause() {
  LOG(WARNING) << "agent: the process was paused; reconnecting queued="
               << queue_.waiting();
  ++counters_.pauses;
  RefuseAllWaiting({not_run_reason::kPaused, "the agent was paused"});
  for (auto& [entry, session] : sessions_) {
    session.Disconnect(time_.Now());
  }
  host_.PauseDetected();
  host_.StatusChanged();
}

void agent_core::Tick() {
  if (pause_.Tick()) {
    DisconnectAfterPause();
  }
  if (minion_ && !IsAnnounced()) {
    LOG(WARNING) << "agent: the announcement of the minion has expired";
    minion_.reset();
    RefuseAllWaiting(
        {not_run_reason::kNoMinion, "the minion's announcement expired"});
    host_.StatusChanged();
  }
  const steady_time now = time_.Now();
  RefuseWaiting(
      [now](const queued_start& start) { return start.deadline <= now; },
      {not_run_reason::kExpired, "the deadline has passed"});
  StopRunsOfSilentEntries();
  CloseLostSessions();
}

void agent_core::StopRuns(const running_calls::call_check& matches) {
  // The host may report the end of a call at once, which removes its run.
  for (const std::uint64_t call : running_.CloseGuards(matches)) {
    host_.StopCall(call);
  }
}

void agent_core::StopRunsOf(incarnation entry) {
  StopRuns([entry](const running_call& run) { return run.entry == entry; });
}

void agent_core::Drain() {
  stopping_ = true;
  RefuseAllWaiting({not_run_reason::kDraining, "the agent is stopping"});
  host_.StatusChanged();
}

bool agent_core::IsDrained() const {
  const bool reported = std::all_of(
      sessions_.begin(), sessions_.end(), [](const auto& entry_and_session) {
        const entry_session& session = entry_and_session.second;
        return session.unacknowledged() == 0 || session.lost();
      });
  return running_.empty() && reported;
}

}  // namespace jayrill
