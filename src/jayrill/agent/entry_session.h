#ifndef JAYRILL_AGENT_ENTRY_SESSION_H_
#define JAYRILL_AGENT_ENTRY_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"
#include "jayrill/job/task_result.h"
#include "jayrill/session/start_gate.h"

namespace jayrill {

/// The agent's state of the session with one entry incarnation. It outlives
/// the connections of the session.
class entry_session {
 public:
  /// What the hello of a new connection says about the session.
  struct opening {
    connection_epoch epoch;
    start_number last_accepted;

    auto operator<=>(const opening&) const = default;
  };

  /// Begins a new connection; starts of earlier ones are fenced from now on.
  opening Connect();

  /// The entry has answered the hello. Unless it \p resumed the session, a new
  /// one begins: numbers start again and earlier results are dropped.
  /// \returns the number of dropped results.
  std::size_t Welcome(bool resumed);

  /// The connection has ended; unacknowledged results will be sent again.
  void Disconnect(steady_time now);

  /// Drops the results of a session that is not expected to be resumed.
  /// \returns their number.
  std::size_t DropResults();

  start_gate::decision Admit(connection_epoch epoch, start_number number);

  /// Keeps \p result until the entry has acknowledged it.
  void AddResult(task_result result);

  /// \returns the results that were not sent on this connection, at least one
  /// and further ones up to \p max_bytes; they count as sent. The pointers
  /// are valid until the results are acknowledged or dropped.
  std::vector<const task_result*> TakeUnsent(std::size_t max_bytes);

  void Acknowledge(std::span<const start_number> numbers);

  /// \returns the epoch of the newest connection.
  connection_epoch epoch() const {
    return connection_epoch{epoch_base_.value + gate_.epoch().value};
  }

  /// The entry has sent something on the current connection.
  void OnHeard(steady_time now) { heard_ = now; }
  steady_time heard() const { return heard_; }

  bool connected() const { return connected_; }
  bool has_unsent() const { return !unsent_.empty(); }
  std::size_t unacknowledged() const { return results_.size(); }
  steady_time disconnected_at() const { return disconnected_at_; }

  /// Distinguishes the sessions that the same entry incarnation has opened.
  std::uint64_t generation() const { return generation_; }

  /// Whether queued starts were withdrawn since the last connection.
  bool lost() const { return lost_; }
  void MarkLost() { lost_ = true; }

 private:
  start_gate gate_;
  // Epochs of sessions that the entry has closed; epochs only grow.
  connection_epoch epoch_base_;
  std::uint64_t generation_ = 1;
  bool connected_ = false;
  bool lost_ = false;
  steady_time disconnected_at_;
  steady_time heard_;
  std::map<start_number, task_result> results_;
  std::set<start_number> unsent_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_ENTRY_SESSION_H_
