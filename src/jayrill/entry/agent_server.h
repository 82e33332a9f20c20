#ifndef JAYRILL_ENTRY_AGENT_SERVER_H_
#define JAYRILL_ENTRY_AGENT_SERVER_H_

#include <kj/async-io.h>
#include <kj/timer.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jayrill/entry/agent_connection.h"
#include "jayrill/entry/dispatch_output.h"
#include "jayrill/entry/dispatch_settings.h"
#include "jayrill/entry/dispatcher.h"
#include "jayrill/entry/heartbeat.h"

namespace jayrill {

/// Serves agents over RPC and runs the dispatcher; belongs to one kj thread.
class agent_server final : public dispatch_output,
                           private kj::TaskSet::ErrorHandler {
 public:
  using decided_callback = std::function<void(job_id, job_outcome)>;
  using config_callback = std::function<void(shared_config)>;

  agent_server(const dispatch_settings& settings,
               std::unique_ptr<placement_strategy> strategy,
               const clock& time,
               kj::Timer& timer,
               decided_callback decided,
               config_callback newer_config,
               std::function<void()> turn_ended);
  ~agent_server() noexcept override;
  KJ_DISALLOW_COPY(agent_server);

  /// Serves the connections of \p receiver until the server is destroyed.
  void Serve(kj::Own<kj::ConnectionReceiver> receiver);

  dispatcher& core() { return core_; }
  const dispatcher& core() const { return core_; }

  /// Makes the dispatcher place tasks once this turn of the event loop has
  /// handled everything that has arrived.
  void ScheduleFlush();

  /// Tells all agents the RPC addresses of the live entries.
  void SetEntries(std::vector<std::string> entries);

  // For the connections.
  void Attach(agent_connection& connection);
  void OnClosed(agent_connection& connection);
  void OnAgentConfig(wire::Config::Reader config);
  void OnConfigAcknowledged(const agent_connection& connection,
                            std::uint64_t push,
                            config_revision revision);
  void WriteConfig(wire::Config::Builder wire);

  const dispatch_settings& settings() const { return settings_; }
  const std::vector<std::string>& entries() const { return entries_; }

  /// \returns the time that agents leave between reports without results.
  std::chrono::milliseconds status_interval() const {
    return StatusReportInterval(core_.open_sessions(),
                                settings_.processor_cores);
  }

  /// The heartbeat interval as of the last tick.
  std::chrono::milliseconds heartbeat() const { return heartbeat_; }
  const clock& time() const { return time_; }

  // dispatch_output
  void SendStarts(agent_handle agent, start_batch batch) override;
  void SendCancel(agent_handle agent,
                  std::vector<start_number> numbers) override;
  void PushConfig(agent_handle agent,
                  shared_config config,
                  std::uint64_t push) override;
  void Disconnect(agent_handle agent) override;
  void JobDecided(job_id job, job_outcome outcome) override;
  void NewerConfig(shared_config config) override;

 private:
  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<void> AcceptLoop(kj::ConnectionReceiver& receiver);
  void Accept(kj::Own<kj::AsyncIoStream> stream);
  kj::Promise<void> TickLoop();
  void ArmDeadline();
  void SendHeartbeats();
  void SendHeartbeat(agent_connection& connection);
  agent_connection* Find(agent_handle agent);
  const std::string& PackedConfig(const cluster_config& config);

  dispatch_settings settings_;
  const clock& time_;
  kj::Timer& timer_;
  decided_callback decided_;
  config_callback newer_config_;
  std::function<void()> turn_ended_;
  dispatcher core_;
  std::vector<std::string> entries_;
  std::set<agent_connection*> connections_;
  std::map<agent_handle, agent_connection*> agents_;
  std::optional<config_revision> packed_revision_;
  std::string packed_config_;
  bool flush_scheduled_ = false;
  std::optional<steady_time> armed_deadline_;
  std::chrono::milliseconds heartbeat_{1000};
  kj::Maybe<kj::Promise<void>> deadline_timer_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  bool stopping_ = false;
  kj::TaskSet tasks_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_AGENT_SERVER_H_
