#include "jayrill/agent/agent_core.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "jayrill/config/config_codec.h"

namespace jayrill {

namespace {

/// An overdue run is assumed to go on for this fraction of the time by which it
/// is overdue. Without it, a minion that has turned slow would look as if it
/// were about to be free.
constexpr double kOverdueFraction = 0.5;

/// A start that may wait for some time is given back when it has waited for
/// this multiple of it, because the estimate was wrong.
constexpr int kMaxWaitExcess = 2;

std::chrono::microseconds Micros(steady_duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration);
}

std::chrono::milliseconds Millis(steady_duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

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
    RefuseWaiting([](const queued_start&) { return true; },
                  {not_run_reason::kDraining, "the minion is leaving"});
  }
  announced_at_ = time_.Now();
  DispatchWaiting();
  host_.StatusChanged();
}

void agent_core::Leave() {
  LOG(INFO) << "agent: the minion leaves running=" << running_.size()
            << " queued=" << queue_.waiting();
  departure_.OnLeave(time_.Now());
  RefuseWaiting([](const queued_start&) { return true; },
                {not_run_reason::kDraining, "the minion is leaving"});
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
  data_centre_out_ = decoded->IsOut(settings_.data_centre);
  LOG(INFO) << "config: adopted revision=" << config_.revision.value
            << " data_centre_out=" << data_centre_out_;
  if (data_centre_out_) {
    RefuseWaiting([](const queued_start&) { return true; },
                  {not_run_reason::kDataCentreOut, "the data centre is out"});
  }
  host_.StatusChanged();
}

entry_session::opening agent_core::Connect(incarnation entry) {
  ++counters_.connects;
  return sessions_[entry].Connect();
}

void agent_core::Welcome(incarnation entry,
                         bool resumed,
                         session_number session) {
  if (!resumed) {
    // The entry has already reported the starts of the old session as lost, so
    // they must not run.
    queue_.WithdrawIf(
        [entry](const queued_start& start) { return start.entry == entry; });
    StopRuns([entry](const running_call& run) { return run.entry == entry; });
    host_.StatusChanged();
  }
  counters_.dropped_results += sessions_[entry].Welcome(resumed, session);
}

void agent_core::Disconnect(incarnation entry, connection_epoch epoch) {
  if (sessions_[entry].epoch() == epoch) {
    sessions_[entry].Disconnect(time_.Now());
  }
}

bool agent_core::IsConnected(incarnation entry) const {
  const auto found = sessions_.find(entry);
  return found != sessions_.end() && found->second.connected();
}

void agent_core::SetRetiring(incarnation entry, bool retiring) {
  sessions_[entry].SetRetiring(retiring);
  if (retiring) {
    RefuseWaiting(
        [entry](const queued_start& start) { return start.entry == entry; },
        {not_run_reason::kDraining, "the agent leaves this entry"});
  }
}

bool agent_core::IsRetiring(incarnation entry) const {
  const auto found = sessions_.find(entry);
  return found != sessions_.end() && found->second.retiring();
}

bool agent_core::IsIdle(incarnation entry) const {
  const auto found = sessions_.find(entry);
  return !queue_.HasStartOf(entry) &&
         std::none_of(running_.begin(), running_.end(),
                      [entry](const auto& item) {
                        return item.second.entry == entry;
                      }) &&
         (found == sessions_.end() || found->second.unacknowledged() == 0);
}

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
    } else if (order.max_wait.count() > 0 &&
               ExpectedWait(order.needs) > order.max_wait) {
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

void agent_core::Enqueue(incarnation entry,
                         const start_request& order,
                         steady_time placed) {
  const steady_time now = time_.Now();
  ++counters_.admitted;
  queue_.Push({entry, order, now, now + order.remaining, placed});
}

std::optional<agent_core::refusal> agent_core::FindRefusal(
    const start_request& order,
    steady_time deadline) const {
  if (data_centre_out_) {
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
  while (auto next = queue_.TakeNext(slots(), room())) {
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

void agent_core::StartCall(queued_start start) {
  const steady_time now = time_.Now();
  const std::uint64_t call = ++last_call_;
  const run_guard_ptr guard(new run_guard(start.placed));
  running_[call] = {start.entry,
                    sessions_[start.entry].generation(),
                    start.order.number,
                    start.order.job_name,
                    start.order.task_index,
                    start.arrived,
                    now,
                    now + start.order.expected_run,
                    start.order.typical_run,
                    {},
                    start.order.needs,
                    false,
                    guard};
  ++counters_.calls;
  host_.Call({call, std::move(start.order), minion_->port, now, start.deadline,
              guard});
}

void agent_core::OnResult(std::uint64_t call, task_result outcome) {
  const auto found = running_.find(call);
  if (found == running_.end()) {
    return;
  }
  running_call& run = found->second;
  run.run_time = outcome.run_time;
  // Counts also where nobody waits for the result any more: the caller may
  // submit the job again.
  crashes_.Add(run.job_name, run.task_index, outcome.crash);
  if (outcome.outcome == task_outcome::kSucceeded) {
    pace_.OnRunEnded(outcome.run_time, run.typical_run, time_.Now());
  }
  if (sessions_[run.entry].generation() != run.generation) {
    // The entry has closed the session that the start belongs to.
    ++counters_.dropped_results;
    return;
  }
  outcome.number = run.number;
  outcome.wait_time = Micros(run.released - run.arrived);
  Report(run.entry, std::move(outcome));
}

void agent_core::OnSlotFree(std::uint64_t call) {
  const auto found = running_.find(call);
  if (found == running_.end()) {
    return;
  }
  queue_.FreeSlot(found->second.run_time, found->second.needs);
  running_.erase(found);
  DispatchWaiting();
  host_.StatusChanged();
}

void agent_core::RefuseWaiting(
    const std::function<bool(const queued_start&)>& matches,
    const refusal& why) {
  const steady_time now = time_.Now();
  for (const queued_start& start : queue_.WithdrawIf(matches)) {
    Refuse(start.entry, start.order.number, why, Micros(now - start.arrived));
  }
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
  RefuseWaiting([](const queued_start&) { return true; },
                {not_run_reason::kPaused, "the agent was paused"});
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
    RefuseWaiting(
        [](const queued_start&) { return true; },
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

void agent_core::OnAlive(incarnation entry, steady_time when) {
  sessions_[entry].OnAlive(when);
}

void agent_core::OnReportAnswered(incarnation entry, steady_time sent) {
  OnAlive(entry, sent);
  const std::uint64_t generation = sessions_[entry].generation();
  for (auto& [call, run] : running_) {
    if (run.entry == entry && run.generation == generation) {
      run.guard->Extend(sent);
    }
  }
}

bool agent_core::HasGuardedRuns(incarnation entry) const {
  return settings_.silence_timeout.count() > 0 &&
         std::any_of(running_.begin(), running_.end(), [&](const auto& item) {
           return item.second.entry == entry;
         });
}

void agent_core::StopRuns(
    const std::function<bool(const running_call&)>& matches) {
  for (const auto& [call, run] : running_) {
    if (matches(run)) {
      run.guard->Close();
      host_.StopCall(call);
    }
  }
}

void agent_core::StopRunsOfSilentEntries() {
  if (settings_.silence_timeout.count() == 0) {
    return;
  }
  const steady_time limit = time_.Now() - settings_.silence_timeout;
  for (auto& [entry, session] : sessions_) {
    if (session.last_heard() >= limit) {
      continue;
    }
    const auto is_of_entry = [entry = entry](const auto& start) {
      return start.entry == entry;
    };
    const bool has_runs =
        std::any_of(running_.begin(), running_.end(), [&](const auto& item) {
          return is_of_entry(item.second) && !item.second.stopped;
        });
    RefuseWaiting(is_of_entry,
                  {not_run_reason::kCancelled, "the entry is silent"});
    if (!has_runs) {
      continue;
    }
    ++counters_.silent_entries;
    LOG(WARNING) << "agent: stopping the runs of a silent entry entry="
                 << ToString(entry) << " connected=" << session.connected();
    StopRuns(is_of_entry);
    for (auto& [call, run] : running_) {
      run.stopped = run.stopped || run.entry == entry;
    }
  }
}

void agent_core::CloseLostSessions() {
  const steady_duration lost_after =
      std::max(settings_.session_lost_after, 3 * heartbeat_);
  for (auto& [entry, session] : sessions_) {
    if (session.connected()) {
      continue;
    }
    const steady_duration silent = time_.Now() - session.disconnected_at();
    if (silent > lost_after && !session.lost()) {
      session.MarkLost();
      ++counters_.lost_sessions;
      LOG(WARNING) << "agent: session lost entry=" << ToString(entry);
      RefuseWaiting(
          [entry = entry](const queued_start& start) {
            return start.entry == entry;
          },
          {not_run_reason::kCancelled, "the session was lost"});
    }
    if (silent > settings_.result_retention) {
      counters_.dropped_results += session.DropResults();
    }
  }
}

void agent_core::SetHeartbeat(std::chrono::milliseconds interval) {
  heartbeat_ = interval;
}

void agent_core::Drain() {
  stopping_ = true;
  RefuseWaiting([](const queued_start&) { return true; },
                {not_run_reason::kDraining, "the agent is stopping"});
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

bool agent_core::IsAnnounced() const {
  return minion_.has_value() &&
         time_.Now() - announced_at_ <= settings_.announce_ttl;
}

std::uint32_t agent_core::slots() const {
  if (!minion_) {
    return 0;
  }
  return std::min({minion_->slots, minion_->connections, settings_.slots_cap});
}

resource_amount agent_core::room() const {
  return minion_ ? minion_->room : resource_amount{};
}

std::chrono::milliseconds agent_core::ExpectedWait(
    const resource_amount& needs) const {
  if (queue_.waiting() == 0 && queue_.busy() < slots() &&
      IsWithin(queue_.running_use() + needs, room())) {
    return {};
  }
  // Each start that waits already takes the place of one run that ends.
  const steady_time now = time_.Now();
  std::vector<steady_duration> remaining;
  remaining.reserve(running_.size());
  for (const auto& [call, run] : running_) {
    const steady_duration left = run.expected_end - now;
    remaining.push_back(left >= steady_duration::zero()
                            ? left
                            : std::chrono::duration_cast<steady_duration>(
                                  -left * kOverdueFraction));
  }
  if (queue_.waiting() >= remaining.size()) {
    return std::chrono::milliseconds::max();
  }
  const auto next =
      remaining.begin() + static_cast<std::ptrdiff_t>(queue_.waiting());
  std::nth_element(remaining.begin(), next, remaining.end());
  return std::chrono::duration_cast<std::chrono::milliseconds>(*next);
}

std::uint32_t agent_core::SlownessPercent() const {
  const steady_time now = time_.Now();
  std::vector<run_pace::unfinished_run> unfinished;
  unfinished.reserve(running_.size());
  for (const auto& [call, run] : running_) {
    if (run.run_time.count() == 0) {
      unfinished.push_back({Micros(now - run.released), run.typical_run});
    }
  }
  const auto slowness = pace_.Slowness(now, unfinished);
  return slowness ? RoundedPercent(*slowness) : 0;
}

void agent_core::GiveBackLateStarts() {
  const steady_time now = time_.Now();
  RefuseWaiting(
      [now](const queued_start& start) {
        return start.order.max_wait.count() > 0 &&
               now - start.arrived > kMaxWaitExcess * start.order.max_wait;
      },
      {not_run_reason::kBusy, "the minion stayed busy"});
}

minion_status agent_core::StatusFor(incarnation entry) const {
  minion_status status = Status();
  status.draining |= IsRetiring(entry);
  return status;
}

minion_status agent_core::Status() const {
  minion_status status;
  status.draining =
      stopping_ || departure_.has_left() || (minion_ && minion_->draining);
  status.busy = queue_.busy();
  status.queued = static_cast<std::uint32_t>(queue_.waiting());
  status.revision = config_.revision;
  status.crashes = crashes_.Recent();
  if (IsAnnounced()) {
    status.service = minion_->service;
    status.slots = slots();
    status.connections = minion_->connections;
    status.cores = minion_->cores;
    status.memory_mb = minion_->memory_mb;
    status.accelerators = minion_->accelerators;
    status.time_until_free = queue_.TimeUntilFree(slots());
    status.room = minion_->room;
    status.used = queue_.used();
    status.warm_up_remaining = minion_->warm_up_remaining;
    status.slowness_percent = SlownessPercent();
  }
  return status;
}

}  // namespace jayrill
