#ifndef JAYRILL_ENTRY_AGENT_SESSION_H_
#define JAYRILL_ENTRY_AGENT_SESSION_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/config/cluster_config.h"
#include "jayrill/entry/agent_hello.h"
#include "jayrill/entry/dispatch_port.h"
#include "jayrill/entry/estimates/start_estimates.h"
#include "jayrill/placement/minion_health.h"
#include "jayrill/placement/minion_slowness.h"
#include "jayrill/placement/minion_view.h"
#include "jayrill/placement/rack_id.h"
#include "jayrill/placement/slow_start.h"
#include "jayrill/session/peer_clock.h"
#include "jayrill/session/start_window.h"

namespace jayrill {

/// The entry's session with one agent, and what the entry knows of its minion:
/// status, health, speed and load.
///
/// A session outlives the connection: an agent that connects again with a
/// higher epoch resumes it. Used on the dispatcher thread only.
class agent_session {
 public:
  using task_ref = start_window::task_ref;

  /// The effect of a new connection on the starts that were sent before.
  struct connect_effect {
    bool resumed = false;
    session_number session;
    std::vector<task_ref> fenced;  ///< Did not run and will not.
    std::vector<task_ref> lost;    ///< May have run.
  };

  /// \p slow_start: time after which a minion that joins may use all of its
  /// slots. Until then SlowStartLimit applies.
  agent_session(agent_handle handle,
                std::string agent_id,
                std::chrono::milliseconds slow_start = kSlowStartTime)
      : handle_(handle),
        agent_id_(std::move(agent_id)),
        slow_start_(slow_start) {}

  /// Opens or resumes the session on \p connection. Resumes only the one that
  /// the agent knows: if the answer to its last hello was lost, it may still
  /// hold starts of a session that was closed. \p needs_slow_start: a minion
  /// that joins gets a slow start.
  /// \returns nothing when the epoch is not newer than the current one.
  std::optional<connect_effect> Connect(const agent_hello& hello,
                                        connection_id connection,
                                        steady_time now,
                                        bool needs_slow_start);

  /// Records that \p connection has ended; ignored unless it is the current
  /// one.
  /// \returns true when the current connection has ended.
  bool Disconnect(connection_id connection, steady_time since);

  /// Ends the session and discards its outstanding starts.
  /// \returns the tasks that may have run.
  std::vector<task_ref> Close();

  /// Records that a message has arrived on \p connection.
  /// \returns false when the connection is not the current one.
  bool OnMessage(connection_id connection, steady_time now);

  /// Records that the agent sent the message that is being handled at \p sent
  /// on its own clock.
  void OnAgentTime(std::chrono::microseconds sent, steady_time now) {
    agent_clock_.OnMessage(sent, now);
  }

  /// \returns the least time that the agent's clock can show at \p now; zero
  /// when it is not known.
  std::chrono::microseconds AgentTime(steady_time now) const {
    return agent_clock_.LowerBound(now);
  }

  void SetStatus(const minion_status& status, steady_time now);

  /// \returns the data centre of the agent.
  const std::string& data_centre() const { return hello_.data_centre; }

  /// Records whether the agent's data centre is in service.
  void SetInService(bool in_service, steady_time now);

  /// Adds a start of \p task to the outstanding ones; the caller sends it.
  /// \returns the number of the start.
  start_number Send(task_ref task,
                    steady_time now,
                    std::chrono::microseconds run_time,
                    const resource_amount& needs = {});

  /// Removes the outstanding start \p number, which has got its result.
  /// \returns its task, or nothing when no such start is outstanding.
  std::optional<task_ref> Take(start_number number);

  /// Applies a result to the circuit breaker of the minion, and withholds
  /// further starts for a short time when the agent did not accept this one.
  void OnOutcome(const task_result& result, steady_time now);

  /// Restarts the silence of the agent at \p now. The entry was paused and
  /// could not receive messages, so the agent need not have been silent.
  void OnPause(steady_time now);

  /// \returns true when the minion may get starts under \p revision, which is
  /// the one in force at this entry.
  bool IsUsable(config_revision revision, steady_time now) const;

  /// \returns the minion as the placement strategies see it. It may be sent
  /// \p lookahead starts more than it has slots.
  minion_view View(steady_time now, std::uint32_t lookahead) const;

  /// \returns how many tasks with \p needs the minion runs at a time.
  double SlotsFor(const resource_amount& needs) const {
    minion_view view;
    view.slots = hello_.status.slots;
    view.room = hello_.status.room;
    return view.SlotsFor(needs);
  }

  agent_info Info(steady_time now) const;

  agent_handle handle() const { return handle_; }
  const std::string& agent_id() const { return agent_id_; }
  const agent_hello& hello() const { return hello_; }
  const minion_status& status() const { return hello_.status; }
  /// \returns the rack that the minion has announced, else that of the agent.
  rack_id rack() const { return rack_; }
  connection_id connection() const { return connection_; }
  connection_epoch epoch() const { return window_.epoch(); }
  bool connected() const { return connected_; }
  bool open() const { return open_; }
  bool in_service() const { return in_service_; }
  std::size_t outstanding() const { return window_.outstanding(); }
  /// \returns the outstanding starts by number.
  const std::map<start_number, task_ref>& outstanding_starts() const {
    return window_.tasks();
  }
  steady_time last_heard() const { return last_heard_; }

  /// \returns since when an agent with outstanding starts has been silent. An
  /// agent without starts reports less often, so its silence before the first
  /// of them does not count.
  steady_time SilentSince() const {
    return std::max(last_heard_, outstanding_since_);
  }
  steady_time disconnected_since() const { return disconnected_since_; }

  /// \returns the run time of a task relative to the average minion.
  /// \sa AssumedSlowness
  double Slowness(steady_time now) const;
  void SetSlowness(double slowness, steady_time now) {
    learned_slowness_ = {slowness, now};
    cached_slowness_.reset();
  }

  /// Withholds starts from the agent until it acknowledges \p push or a later
  /// one. Used after a pause of the entry, which may have missed a change of
  /// the configuration.
  void ExpectAcknowledgement(std::uint64_t push) { expected_push_ = push; }
  void OnAcknowledgement(std::uint64_t push, config_revision revision);

  /// Records that the configuration \p push was sent on this connection.
  void OnPush(std::uint64_t push) { push_in_flight_ = push; }
  /// \returns true when a configuration that was sent on this connection has
  /// not been acknowledged.
  bool HasPushInFlight() const { return push_in_flight_ != 0; }

  /// The store has confirmed the configuration: the agent may get starts again.
  void ConfirmConfig() { expected_push_ = 0; }

 private:
  double CurrentSlowness(steady_time now) const;

  /// \returns the part of the load of other entries that is assumed to be left
  /// at \p now.
  double LoadLeft(steady_time now) const;

  /// \returns the time until a slot is expected to become free.
  std::chrono::microseconds TimeUntilFree(steady_time now) const;

  agent_handle handle_;
  std::string agent_id_;
  std::chrono::milliseconds slow_start_;
  agent_hello hello_;
  rack_id rack_;
  start_window window_;
  peer_clock agent_clock_;
  session_number number_;  ///< Is the id of the connection that opened it.
  connection_id connection_;
  start_estimates estimates_;  ///< Of the outstanding starts.
  minion_health health_;
  bool open_ = false;
  bool connected_ = false;
  bool in_service_ = true;
  slowness_sample learned_slowness_;
  /// The result of Slowness and when it was computed.
  struct cached_slowness {
    double value = 1.0;
    steady_time computed_at;
  };
  mutable std::optional<cached_slowness> cached_slowness_;
  steady_time last_start_;
  std::uint32_t other_entries_load_ = 0;  ///< Their tasks at the agent.
  resource_amount other_entries_use_;
  std::uint64_t push_in_flight_ = 0;  ///< The last one; 0: none.
  std::uint64_t expected_push_ = 0;   ///< 0: no acknowledgement is awaited.
  steady_time joined_;                ///< When the slow start began.
  steady_time last_heard_;
  steady_time outstanding_since_;  ///< Since when starts are outstanding.
  steady_time disconnected_since_;
  steady_time backoff_until_;  ///< No starts are sent before.
  steady_time status_at_;      ///< When the latest status has arrived.
  /// When a slot becomes free, by the agent's latest report.
  steady_time reported_free_at_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_AGENT_SESSION_H_
