#include "jayrill/entry/dispatcher.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace jayrill {

dispatcher::dispatcher(std::string data_centre,
                       std::unique_ptr<placement_strategy> strategy,
                       const clock& time,
                       dispatch_output& output,
                       dispatch_limits limits)
    : time_(time),
      output_(output),
      limits_(limits),
      started_(time.Now()),
      start_up_(started_),
      placer_(std::move(strategy), limits.remote_factor),
      isolation_detector_(std::move(data_centre), started_),
      retransmissions_(started_),
      pause_detector_(time) {}

void dispatcher::OfferConfig(shared_config config) {
  BeginEvent();
  if (config && (!config_ || config->revision > config_->revision)) {
    ApplyConfig(std::move(config));
  }
}

void dispatcher::OnAgentConfig(shared_config config) {
  BeginEvent();
  if (config && (!config_ || config->revision > config_->revision)) {
    output_.NewerConfig(config);
    ApplyConfig(std::move(config));
  }
}

void dispatcher::ApplyConfig(shared_config config) {
  config_ = std::move(config);
  out_list_.Offer(OutListOf(*config_));
  ApplyOutList();
  for (const auto& [handle, session] : agents_.sessions()) {
    PushConfigIfNeeded(*session);
  }
}

void dispatcher::OfferOutList(out_list list,
                              std::optional<steady_time> confirmed) {
  BeginEvent();
  if (out_list_.Offer(std::move(list), confirmed)) {
    LOG(INFO) << "dispatch: data centres out="
              << out_list_.list().data_centres.size()
              << " revision=" << out_list_.list().revision.value;
    ApplyOutList();
  }
}

void dispatcher::ApplyOutList() {
  const steady_time now = time_.Now();
  for (const auto& [handle, session] : agents_.sessions()) {
    ApplyService(*session, now);
  }
  for (auto& [service, pool] : agents_.pools()) {
    pool.set_needs_placement(true);
  }
}

void dispatcher::ApplyService(agent_session& session, steady_time now) {
  if (config_) {
    session.SetInService(!out_list_.IsOut(session.data_centre()), now);
  }
}

void dispatcher::PushConfigIfNeeded(agent_session& session) {
  if (session.connected() && !session.HasPushInFlight() &&
      session.status().revision < config_->revision) {
    PushConfig(session);
  }
}

void dispatcher::PushConfig(agent_session& session) {
  ++counters_.messages_out;
  session.OnPush(++last_push_);
  output_.PushConfig(session.handle(), config_, last_push_);
}

void dispatcher::ConfirmConfig() {
  BeginEvent();
  isolation_detector_.OnStoreContact(time_.Now());
  for (const auto& [handle, session] : agents_.sessions()) {
    session->ConfirmConfig();
  }
}

void dispatcher::OnConfigAcknowledged(agent_handle agent,
                                      std::uint64_t push,
                                      config_revision revision) {
  BeginEvent();
  if (agent_session* const session = agents_.Find(agent)) {
    session->OnAcknowledgement(push, revision);
    PushConfigIfNeeded(*session);
    agents_.UpdatePool(*session);
  }
}

void dispatcher::SetTeamShares(const std::map<std::string, double>& shares) {
  for (const auto& [team, share] : shares) {
    team_quotas_.UpdateShare(team, std::clamp(share, 0.0, 1.0), time_.Now());
  }
}

result<dispatcher::connect_reply> dispatcher::Connect(
    const agent_hello& hello) {
  BeginEvent();
  if (hello.agent_id.empty()) {
    return MakeError(error_kind::kInvalidArgument, "the agent has no id",
                     "set the id of the agent");
  }
  const steady_time now = time_.Now();
  agent_session& session =
      agents_.FindOrAdd(hello.agent_id, limits_.slow_start);
  const connection_id connection{++last_connection_};
  // Agents that connect right after the start of the entry were running before,
  // so their minions need no slow start.
  const bool needs_slow_start = now - started_ > kMaxAgentWait;
  const auto effect = session.Connect(hello, connection, now, needs_slow_start);
  if (!effect) {
    return MakeError(
        error_kind::kConflict,
        "a newer connection of agent '" + hello.agent_id + "' is open",
        "connect with a higher epoch");
  }
  LearnCrashes(session.handle(), hello.status.crashes);
  EndStarts(session, effect->lost, task_outcome::kUnknown,
            "the agent restarted");
  EndStarts(session, effect->fenced, task_outcome::kNotRun,
            "the connection to the agent was cut");
  ApplyService(session, now);
  start_up_.OnAgentConnected(now);
  session.SetSlowness(speed_model_.Slowness(session.handle().value), now);
  isolation_detector_.OnAgentContact(hello.data_centre, now);
  agents_.UpdatePool(session);
  if (effect->resumed && session.outstanding() > 0) {
    cancels_due_.insert(session.handle());
  }
  return connect_reply{session.handle(), connection, effect->resumed,
                       effect->session};
}

void dispatcher::OnDisconnect(agent_handle agent, connection_id connection) {
  BeginEvent();
  if (agent_session* const session = agents_.Find(agent)) {
    session->Disconnect(connection, time_.Now());
  }
}

bool dispatcher::OnReport(agent_handle agent,
                          connection_id connection,
                          const std::vector<task_result>& results,
                          const minion_status& status,
                          std::chrono::microseconds sent) {
  BeginEvent();
  const steady_time now = time_.Now();
  counters_.messages_in += std::max<std::size_t>(results.size(), 1);
  agent_session* const session = agents_.Find(agent);
  if (session == nullptr || !session->OnMessage(connection, now)) {
    return false;
  }
  session->OnAgentTime(sent, now);
  isolation_detector_.OnAgentContact(session->hello().data_centre, now);
  // First, so that a task that is given up with this report is not started
  // again for its results.
  LearnCrashes(agent, status.crashes);
  for (const task_result& result : results) {
    OnResult(*session, result);
  }
  session->SetStatus(status, now);
  agents_.UpdatePool(*session);
  return true;
}

void dispatcher::OnGoodbye(agent_handle agent, connection_id connection) {
  BeginEvent();
  agent_session* const session = agents_.Find(agent);
  if (session != nullptr && session->OnMessage(connection, time_.Now())) {
    CloseSession(*session, "the agent has stopped");
  }
}

dispatch_status dispatcher::Status() {
  dispatch_status status;
  status.revision = config_ ? config_->revision : config_revision{};
  status.isolated = IsIsolated();
  status.draining = draining_;
  status.ready = IsReady();
  status.jobs = jobs_.undecided();
  for (const auto& [service, pool] : agents_.pools()) {
    status.waiting_tasks += pool.waiting();
  }
  status.team_demand = jobs_.TeamDemand();
  for (const auto& [handle, session] : agents_.sessions()) {
    if (session->open()) {
      status.agents.push_back(session->Info(time_.Now()));
      status.outstanding += session->outstanding();
    }
  }
  status.counters = counters_;
  return status;
}

}  // namespace jayrill
