#ifndef JAYRILL_AGENT_ENTRY_SESSION_H_
#define JAYRILL_AGENT_ENTRY_SESSION_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"
#include "jayrill/job/task_result.h"
#include "jayrill/session/session_number.h"
#include "jayrill/session/start_gate.h"

namespace jayrill {

/// The agent's state of its session with one entry incarnation: the start gate
/// and the results that the entry has not acknowledged.
///
/// Outlives the connections of the session. Not thread-safe.
class entry_session {
 public:
  /// State of the session that the hello of a new connection carries.
  struct opening {
    connection_epoch epoch;
    start_number last_accepted;
    session_number session = {};  ///< Of the last answer; 0: none.

    auto operator<=>(const opening&) const = default;
  };

  /// Begins a new connection; starts of earlier ones are fenced from now on.
  opening Connect();

  /// The entry has answered the hello with \p session. Unless it \p resumed the
  /// session, a new one begins: start numbers begin at 1 and the old results
  /// are dropped.
  /// \returns the number of dropped results.
  std::size_t Welcome(bool resumed, session_number session);

  /// The connection has ended; unacknowledged results are sent again on the
  /// next one.
  void Disconnect(steady_time now);

  /// Drops the results of a session that is not expected to be resumed.
  /// \returns their number.
  std::size_t DropResults();

  /// Decides about the start \p number that arrived on connection \p epoch.
  start_gate::decision Admit(connection_epoch epoch, start_number number);

  /// Keeps \p result until the entry has acknowledged it.
  void AddResult(task_result result);

  /// \returns the results that were not sent on this connection, at least one
  /// and further ones up to \p max_bytes; they count as sent. The pointers
  /// are valid until the results are acknowledged or dropped.
  std::vector<const task_result*> TakeUnsent(std::size_t max_bytes);

  /// Drops the results \p numbers. Keeps those that were not sent on this
  /// connection.
  void Acknowledge(std::span<const start_number> numbers);

  /// \returns the epoch of the newest connection.
  connection_epoch epoch() const {
    return connection_epoch{epoch_base_.value + gate_.epoch().value};
  }

  /// A message of the entry shows that it was alive at \p when.
  void OnAlive(steady_time when) { last_heard_ = std::max(last_heard_, when); }
  /// \returns the latest time at which the entry is known to have been alive.
  steady_time last_heard() const { return last_heard_; }

  bool connected() const { return connected_; }
  bool has_unsent() const { return !unsent_.empty(); }
  std::size_t unacknowledged() const { return results_.size(); }
  steady_time disconnected_at() const { return disconnected_at_; }

  /// Distinguishes the sessions that the same entry incarnation has opened.
  std::uint64_t generation() const { return generation_; }

  /// \returns true when the agent has given the session up since the last
  /// connection and has withdrawn its queued starts.
  bool lost() const { return lost_; }
  void MarkLost() { lost_ = true; }

  /// \returns true when the agent is about to close the session and accepts no
  /// further starts.
  bool retiring() const { return retiring_; }
  void SetRetiring(bool retiring) { retiring_ = retiring; }

 private:
  start_gate gate_;
  session_number number_;  // By the last answer of the entry.
  // Highest epoch of the sessions that the entry has closed. The gate of each
  // session counts from 1; the sum of both grows for as long as the agent runs.
  connection_epoch epoch_base_;
  std::uint64_t generation_ = 1;
  bool connected_ = false;
  bool lost_ = false;
  bool retiring_ = false;
  steady_time disconnected_at_;
  steady_time last_heard_;
  std::map<start_number, task_result> results_;
  std::set<start_number> unsent_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_ENTRY_SESSION_H_
