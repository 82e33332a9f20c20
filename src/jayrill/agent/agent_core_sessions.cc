#include <glog/logging.h>

#include <algorithm>

#include "jayrill/agent/agent_core.h"

namespace jayrill {

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
    for (const queued_start& start :
         queue_.WithdrawIf([entry](const queued_start& item) {
           return item.entry == entry;
         })) {
      shares_.OnWaitEnded(start.order, time_.Now());
    }
    StopRunsOf(entry);
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
    RefuseWaitingOf(entry,
                    {not_run_reason::kDraining, "the agent leaves this entry"});
  }
}

bool agent_core::IsRetiring(incarnation entry) const {
  const auto found = sessions_.find(entry);
  return found != sessions_.end() && found->second.retiring();
}

bool agent_core::IsIdle(incarnation entry) const {
  const auto found = sessions_.find(entry);
  return !queue_.HasStartOf(entry) && !running_.HasCallOf(entry) &&
         (found == sessions_.end() || found->second.unacknowledged() == 0);
}

void agent_core::OnAlive(incarnation entry, steady_time when) {
  sessions_[entry].OnAlive(when);
}

void agent_core::OnReportAnswered(incarnation entry,
                                  steady_time sent,
                                  std::chrono::milliseconds callers_lag) {
  OnAlive(entry, sent);
  running_.ExtendGuards(entry, sessions_[entry].generation(),
                        sent - callers_lag);
}

bool agent_core::HasGuardedRuns(incarnation entry) const {
  return settings_.silence_timeout.count() > 0 && running_.HasCallOf(entry);
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
    const bool has_runs = running_.HasUnstoppedCallOf(entry);
    RefuseWaitingOf(entry, {not_run_reason::kCancelled, "the entry is silent"});
    if (!has_runs) {
      continue;
    }
    ++counters_.silent_entries;
    LOG(WARNING) << "agent: stopping the runs of a silent entry entry="
                 << ToString(entry) << " connected=" << session.connected();
    StopRunsOf(entry);
    running_.MarkStopped(entry);
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
      RefuseWaitingOf(entry,
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

}  // namespace jayrill
