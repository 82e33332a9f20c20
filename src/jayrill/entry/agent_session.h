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
#include "jayrill/placement/minion_health.h"
#include "jayrill/placement/minion_view.h"
#include "jayrill/placement/slow_start.h"
#include "jayrill/session/start_window.h"

namespace jayrill {

/// The entry's session with one agent, and its knowledge of the minion.
class agent_session {
 public:
  using task_ref = start_window::task_ref;

  /// What a new connection means for the starts sent before.
  struct connect_effect {
    bool resumed = false;
    std::vector<task_ref> fenced;  ///< Did not run and will not.
    std::vector<task_ref> lost;    ///< May have run.
  };

  /// \p slow_start: time over which a minion that joins gets its full share.
  agent_session(agent_handle handle,
                std::string agent_id,
                std::chrono::milliseconds slow_start = kSlowStartTime)
      : handle_(handle),
        agent_id_(std::move(agent_id)),
        slow_start_(slow_start) {}

  /// Opens or resumes the session on \p connection. \p ramp: a minion that
  /// joins gets a slow start.
  /// \returns nothing when the epoch is not newer than the current one.
  std::optional<connect_effect> Connect(const agent_hello& hello,
                                        connection_id connection,
                                        steady_time now,
                                        bool ramp);

  /// Notes the end of \p connection; earlier ones are ignored.
  /// \returns true when the current connection has ended.
  bool Disconnect(connection_id connection, steady_time since);

  /// Ends the session.
  /// \returns the tasks that may have run.
  std::vector<task_ref> Close();

  /// Notes a message on \p connection.
  /// \returns false when the connection is not the current one.
  bool Heard(connection_id connection, steady_time now);

  void SetStatus(const minion_status& status, steady_time now);

  /// Notes whether the agent's data centre is in service under \p config.
  void ApplyConfig(const cluster_config& config, steady_time now);

  /// Notes that a start of \p task is sent.
  start_number Send(task_ref task,
                    steady_time now,
                    std::chrono::microseconds run_time,
                    const resource_amount& needs = {});

  /// Takes out the start that a result is for.
  std::optional<task_ref> Take(start_number number);

  /// Notes a result; it moves the circuit breaker.
  void OnOutcome(const task_result& result, steady_time now);

  /// The process was stopped, so silence until \p now proves nothing.
  void OnPause(steady_time now);

  /// \returns true when the minion may get starts at all under the revision
  /// of this entry.
  bool IsUsable(config_revision revision, steady_time now) const;

  /// \returns the minion as the placement strategies see it.
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
  connection_id connection() const { return connection_; }
  connection_epoch epoch() const { return window_.epoch(); }
  bool connected() const { return connected_; }
  bool open() const { return open_; }
  bool in_service() const { return in_service_; }
  std::size_t outstanding() const { return window_.outstanding(); }
  steady_time last_heard() const { return last_heard_; }

  /// \returns since when the agent owes a sign of life for its starts. An agent
  /// without starts is heard from less often, so the first start begins anew.
  steady_time SilentSince() const {
    return std::max(last_heard_, guarded_since_);
  }
  steady_time disconnected_since() const { return disconnected_since_; }

  /// \returns the run time of a task relative to the average minion. What was
  /// learned counts less the longer ago that was, so that a minion that was
  /// slow once is tried again.
  double Slowness(steady_time now) const;
  void SetSlowness(double slowness, steady_time now) {
    slowness_ = slowness;
    slowness_learned_at_ = now;
    current_slowness_.reset();
  }

  /// After a pause of the entry, the agent gets starts only when it has
  /// acknowledged a configuration sent later than the pause.
  void ExpectAcknowledgement(std::uint64_t push) { expected_push_ = push; }
  void OnAcknowledgement(std::uint64_t push, config_revision revision);
  void ConfirmConfig() { expected_push_ = 0; }

 private:
  std::chrono::microseconds ExpectedFree(steady_time now) const;
  std::chrono::microseconds EarliestOverdue(steady_time now) const;
  void UpdateEarliestEnd();
  void ForgetStarts(start_number above);

  agent_handle handle_;
  std::string agent_id_;
  std::chrono::milliseconds slow_start_;
  agent_hello hello_;
  start_window window_;
  connection_id connection_;
  /// When a start is expected to end, and the least time that it is ever
  /// expected to need still.
  struct expected_end {
    steady_time end = steady_time::max();
    std::chrono::microseconds least{};
    resource_amount needs;
  };

  std::map<start_number, expected_end> expected_ends_;
  expected_end earliest_end_;  ///< Of expected_ends_.
  minion_health health_;
  bool open_ = false;
  bool connected_ = false;
  bool in_service_ = true;
  double slowness_ = 1.0;
  steady_time slowness_learned_at_;
  /// The result of Slowness and when it was worked out.
  struct dated_slowness {
    double value = 1.0;
    steady_time at;
  };
  mutable std::optional<dated_slowness> current_slowness_;
  steady_time last_start_;
  std::uint32_t other_load_ = 0;
  resource_amount own_use_;  ///< By the starts without a result.
  resource_amount other_use_;
  std::uint64_t expected_push_ = 0;
  steady_time joined_;
  steady_time last_heard_;
  steady_time guarded_since_;  ///< First of the outstanding starts.
  steady_time disconnected_since_;
  steady_time avoid_until_;
  steady_time reported_free_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_AGENT_SESSION_H_
