#include "jayrill/entry/agent_server.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "jayrill/config/config_codec.h"
#include "jayrill/entry/heartbeat.h"
#include "jayrill/rpc/codec.h"

namespace jayrill {

namespace {

/// Limit of open connections, including those before the handshake. The design
/// size is 750 agents, and each may have an old connection that is not closed
/// yet.
constexpr std::size_t kMaxConnections = 2000;

/// Shortest time between two changed lists of entries that are sent to all
/// agents. When all entries start together, each list differs from the last by
/// one entry.
constexpr std::chrono::milliseconds kEntryListInterval{500};

kj::Duration ToKj(steady_duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
             .count() *
         kj::MICROSECONDS;
}

}  // namespace

agent_server::agent_server(const dispatch_settings& settings,
                           std::unique_ptr<placement_strategy> strategy,
                           const clock& time,
                           kj::Timer& timer,
                           const loop_progress* callers,
                           host callbacks)
    : settings_(settings),
      time_(time),
      timer_(timer),
      callers_(callers),
      host_(std::move(callbacks)),
      core_(settings.data_centre,
            std::move(strategy),
            time,
            *this,
            settings.limits),
      tasks_(*this) {
  tasks_.add(TickLoop());
}

agent_server::~agent_server() noexcept {
  stopping_ = true;
}

void agent_server::Serve(kj::Own<kj::ConnectionReceiver> receiver) {
  receiver_ = kj::mv(receiver);
  tasks_.add(AcceptLoop(*receiver_));
}

kj::Promise<void> agent_server::AcceptLoop(kj::ConnectionReceiver& receiver) {
  return receiver.accept().then(
      [this, &receiver](kj::Own<kj::AsyncIoStream>&& stream) {
        Accept(kj::mv(stream));
        return AcceptLoop(receiver);
      },
      [this, &receiver](kj::Exception&& exception) {
        // For example, no file descriptor is free. An immediate retry would
        // fail again.
        LOG(ERROR) << "rpc: accept failed: "
                   << exception.getDescription().cStr();
        return timer_.afterDelay(100 * kj::MILLISECONDS)
            .then([this, &receiver]() { return AcceptLoop(receiver); });
      });
}

void agent_server::Accept(kj::Own<kj::AsyncIoStream> stream) {
  if (connections_.size() >= kMaxConnections) {
    LOG(WARNING) << "rpc: connection refused: the limit of " << kMaxConnections
                 << " open connections is reached";
    return;
  }
  auto connection = kj::heap<agent_connection>(*this, kj::mv(stream));
  connections_.insert(connection.get());
  auto ended = connection->Run(timer_);
  tasks_.add(ended.attach(kj::mv(connection)));
}

void agent_server::Attach(agent_connection& connection) {
  agent_connection*& current = agent_connections_[connection.agent()];
  if (current != nullptr) {
    current->Drop();
  }
  current = &connection;
}

void agent_server::OnClosed(agent_connection& connection) {
  connections_.erase(&connection);
  if (!connection.is_agent() || stopping_) {
    return;
  }
  const auto found = agent_connections_.find(connection.agent());
  if (found != agent_connections_.end() && found->second == &connection) {
    agent_connections_.erase(found);
  }
  core_.OnDisconnect(connection.agent(), connection.id());
  ScheduleFlush();
}

void agent_server::ScheduleFlush() {
  if (flush_scheduled_) {
    return;
  }
  flush_scheduled_ = true;
  tasks_.add(kj::evalLast([this]() {
    HandlePostedCalls();
    flush_scheduled_ = false;
    core_.Flush();
    ArmDeadline();
    host_.after_flush();
    SendDuePushes();
  }));
}

kj::Promise<void> agent_server::TickLoop() {
  return timer_.afterDelay(ToKj(kDispatchTickInterval)).then([this]() {
    core_.Tick();
    SendHeartbeats();
    ScheduleFlush();
    return TickLoop();
  });
}

void agent_server::ArmDeadline() {
  const auto next = core_.NextDeadline();
  if (!next || next == armed_deadline_) {
    return;
  }
  armed_deadline_ = next;
  const steady_duration remaining =
      std::max(*next - time_.Now(), steady_duration::zero());
  // Assigning cancels the timer of the previous deadline.
  deadline_timer_ = timer_.afterDelay(ToKj(remaining))
                        .then([this]() { ScheduleFlush(); })
                        .eagerlyEvaluate(nullptr);
}

void agent_server::SendHeartbeats() {
  // Agents report once an interval and up to a tick later, and the reply counts
  // as a heartbeat. Waiting half an interval longer makes most heartbeats
  // unnecessary.
  const std::size_t sessions = core_.open_sessions();
  heartbeat_interval_ = HeartbeatInterval(sessions);
  status_interval_ = StatusReportInterval(sessions, settings_.processor_cores);
  const auto interval = heartbeat_interval_ * 3 / 2;
  const steady_time now = time_.Now();
  const std::set<std::string>& out =
      core_.data_centres_out().list().data_centres;
  const bool sends_list =
      out != sent_out_ ||
      (entries_changed_ && now - entries_sent_at_ >= kEntryListInterval);
  if (sends_list) {
    entries_changed_ = false;
    entries_sent_at_ = now;
    sent_out_ = out;
  }
  for (const auto& [agent, connection] : agent_connections_) {
    if (sends_list || now - connection->last_sent() >= interval) {
      SendHeartbeat(*connection);
    }
  }
}

void agent_server::SendHeartbeat(agent_connection& connection) {
  ++core_.counters().messages_out;
  connection.SendHeartbeat(entries_);
}

void agent_server::SetEntries(std::vector<entry_endpoint> entries) {
  if (entries != entries_) {
    entries_ = std::move(entries);
    entries_changed_ = true;
  }
}

void agent_server::OnAgentConfig(wire::Config::Reader config) {
  const config_revision revision{config.getRevision()};
  const config_revision current_revision =
      core_.config() ? core_.config()->revision : config_revision{};
  if (revision <= current_revision) {
    return;
  }
  auto decoded = UnpackConfig(ToString(config.getPacked()));
  if (!decoded || decoded->revision != revision) {
    LOG(ERROR) << "rpc: an agent has sent a configuration that cannot be read";
    return;
  }
  core_.OnAgentConfig(
      std::make_shared<const cluster_config>(std::move(*decoded)));
  ScheduleFlush();
}

void agent_server::OnAgentOutList(wire::OutList::Reader list) {
  if (list.getRevision() != 0) {
    core_.OfferOutList(Decode(list).list);
  }
}

void agent_server::WriteOutList(wire::OutList::Builder wire) const {
  const known_out_list& known = core_.data_centres_out();
  aged_out_list aged{known.list(), std::nullopt};
  if (known.confirmed()) {
    aged.age = std::chrono::ceil<std::chrono::milliseconds>(time_.Now() -
                                                            *known.confirmed());
  }
  Encode(aged, wire);
}

void agent_server::OnConfigAcknowledged(const agent_connection& connection,
                                        std::uint64_t push,
                                        config_revision revision) {
  core_.OnConfigAcknowledged(connection.agent(), push, revision);
  ScheduleFlush();
}

const std::string& agent_server::PackedConfig(const cluster_config& config) {
  if (packed_revision_ != config.revision) {
    packed_config_ = PackConfig(config);
    packed_revision_ = config.revision;
  }
  return packed_config_;
}

void agent_server::WriteConfig(wire::Config::Builder wire) {
  if (const shared_config config = core_.config()) {
    wire.setRevision(config->revision.value);
    wire.setPacked(ToData(PackedConfig(*config)));
  }
}

agent_connection* agent_server::FindConnection(agent_handle agent) {
  const auto found = agent_connections_.find(agent);
  return found == agent_connections_.end() ? nullptr : found->second;
}

void agent_server::HandlePostedCalls() {
  // What callers do from here on may be posted later.
  earlier_callers_lag_ = CurrentCallersLag();
  host_.handle_posted_calls();
}

std::chrono::milliseconds agent_server::CurrentCallersLag() const {
  return callers_ == nullptr ? std::chrono::milliseconds(0) : callers_->Lag();
}

std::chrono::milliseconds agent_server::callers_lag() const {
  return std::max(earlier_callers_lag_, CurrentCallersLag());
}

void agent_server::SendStarts(agent_handle agent, start_batch batch) {
  // A caller that this entry has not heard leave may have submitted its job to
  // another one, so the starts are as old as that.
  constexpr std::chrono::microseconds kOldestKnown{1};
  if (batch.agent_time.count() > 0) {
    batch.agent_time = std::max<std::chrono::microseconds>(
        batch.agent_time - callers_lag(), kOldestKnown);
  }
  if (agent_connection* const connection = FindConnection(agent)) {
    connection->SendStarts(std::move(batch));
  }
}

void agent_server::SendCancel(agent_handle agent,
                              std::vector<start_number> numbers) {
  agent_connection* const connection = FindConnection(agent);
  if (connection == nullptr) {
    return;
  }
  std::vector<start_number> dropped = connection->SendCancel(numbers);
  if (!dropped.empty()) {
    // Deferred, because the dispatcher must not be called back.
    tasks_.add(kj::evalLater([this, agent, dropped = std::move(dropped)] {
      core_.OnStartsDropped(agent, dropped);
      ScheduleFlush();
    }));
  }
}

void agent_server::PushConfig(agent_handle agent,
                              shared_config /*config*/,
                              std::uint64_t push) {
  due_pushes_[agent] = push;
  ScheduleFlush();
}

void agent_server::SendDuePushes() {
  for (const auto& [agent, push] : std::exchange(due_pushes_, {})) {
    if (agent_connection* const connection = FindConnection(agent)) {
      const cluster_config& config = *core_.config();
      connection->SendConfig(config.revision, PackedConfig(config), push);
    }
  }
}

void agent_server::Disconnect(agent_handle agent) {
  if (agent_connection* const connection = FindConnection(agent)) {
    connection->Drop();
  }
}

void agent_server::JobDecided(job_id job, job_outcome outcome) {
  host_.decided(job, std::move(outcome));
}

void agent_server::NewerConfig(shared_config config) {
  host_.newer_config(std::move(config));
}

void agent_server::taskFailed(kj::Exception&& exception) {
  LOG(WARNING) << "rpc: " << exception.getDescription().cStr();
}

}  // namespace jayrill
