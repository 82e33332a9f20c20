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
#include "jayrill/session/loop_progress.h"

namespace jayrill {

/// Accepts the connections of agents, runs the dispatcher and sends its starts,
/// cancels and configurations to the agents. Also sends heartbeats. Used on one
/// kj event loop thread only.
class agent_server final : public dispatch_output,
                           private kj::TaskSet::ErrorHandler {
 public:
  using decided_callback = std::function<void(job_id, job_outcome)>;
  using config_callback = std::function<void(shared_config)>;

  struct host {
    decided_callback decided;  ///< Gets the outcome of each job.
    /// Gets a configuration that an agent has sent and that is newer than the
    /// one in force.
    config_callback newer_config;
    /// Handles the calls that other threads have made until now.
    std::function<void()> handle_posted_calls;
    /// Called after each flush of the dispatcher.
    std::function<void()> after_flush;
  };

  /// \p callers is the event loop that serves callers; null: there is none.
  agent_server(const dispatch_settings& settings,
               std::unique_ptr<placement_strategy> strategy,
               const clock& time,
               kj::Timer& timer,
               const loop_progress* callers,
               host callbacks);
  ~agent_server() noexcept override;
  KJ_DISALLOW_COPY(agent_server);

  /// Serves the connections of \p receiver until the server is destroyed.
  void Serve(kj::Own<kj::ConnectionReceiver> receiver);

  dispatcher& core() { return core_; }
  const dispatcher& core() const { return core_; }

  /// Makes the dispatcher place tasks once this turn of the event loop has
  /// handled everything that has arrived.
  void ScheduleFlush();

  /// Handles the calls that other threads have made until now. Called before
  /// anything is sent that tells an agent that callers wait: a cancellation
  /// that this thread has not got to must not come later.
  void HandlePostedCalls();

  /// Sets the list of the live entries. A changed list is sent to all agents
  /// soon.
  void SetEntries(std::vector<entry_endpoint> entries);

  // Called by agent_connection and entry_port_server.

  /// Makes \p connection the current one of its agent and drops the previous
  /// one.
  void Attach(agent_connection& connection);
  void OnClosed(agent_connection& connection);
  /// Takes over \p config from an agent if it is newer than the one in force.
  void OnAgentConfig(wire::Config::Reader config);
  void OnConfigAcknowledged(const agent_connection& connection,
                            std::uint64_t push,
                            config_revision revision);
  /// Writes the configuration in force to \p wire, nothing if there is none.
  void WriteConfig(wire::Config::Builder wire);
  /// Takes over \p list from an agent if it is newer than the one in force.
  void OnAgentOutList(wire::OutList::Reader list);
  /// Writes the data centres that are out, and the age of that list.
  void WriteOutList(wire::OutList::Builder wire) const;

  const dispatch_settings& settings() const { return settings_; }
  const std::vector<entry_endpoint>& entries() const { return entries_; }

  /// \returns the minimum time between two reports without results of an agent.
  std::chrono::milliseconds status_interval() const { return status_interval_; }

  /// \returns the heartbeat interval that the last tick has computed.
  std::chrono::milliseconds heartbeat_interval() const {
    return heartbeat_interval_;
  }
  const clock& time() const { return time_; }

  /// \returns for how long this entry may have missed that callers have left.
  std::chrono::milliseconds callers_lag() const;

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
  std::chrono::milliseconds CurrentCallersLag() const;
  void ArmDeadline();
  void SendHeartbeats();
  void SendHeartbeat(agent_connection& connection);
  agent_connection* FindConnection(agent_handle agent);
  /// Sends the configuration to the agents for which PushConfig was called.
  /// Comes after after_flush_: callers get answers by a new configuration
  /// before it is packed, which takes long for thousands of routes.
  void SendDuePushes();
  /// \returns the wire form of \p config; caches the last one.
  const std::string& PackedConfig(const cluster_config& config);

  dispatch_settings settings_;
  const clock& time_;
  kj::Timer& timer_;
  const loop_progress* callers_;
  /// Before the last posted calls were handled.
  std::chrono::milliseconds earlier_callers_lag_{};
  host host_;
  dispatcher core_;
  std::vector<entry_endpoint> entries_;
  bool entries_changed_ = false;  ///< Since they were sent to all agents.
  /// The data centres that are out, as last sent to all agents.
  std::set<std::string> sent_out_;
  steady_time entries_sent_at_;
  std::set<agent_connection*> connections_;
  std::map<agent_handle, agent_connection*> agent_connections_;
  std::optional<config_revision> packed_revision_;
  std::string packed_config_;
  std::map<agent_handle, std::uint64_t> due_pushes_;  ///< Numbers, by agent.
  bool flush_scheduled_ = false;
  std::optional<steady_time> armed_deadline_;
  std::chrono::milliseconds heartbeat_interval_{1000};
  std::chrono::milliseconds status_interval_{};
  kj::Maybe<kj::Promise<void>> deadline_timer_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  bool stopping_ = false;
  kj::TaskSet tasks_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_AGENT_SERVER_H_
