#ifndef JAYRILL_SESSION_START_GATE_H_
#define JAYRILL_SESSION_START_GATE_H_

#include <compare>

#include "jayrill/base/ids.h"

namespace jayrill {

/// The agent's side of a session: admits each start number at most once.
///
/// The highest admitted number is enough to detect duplicates, because starts
/// arrive in order on a connection and only the newest connection is served.
/// \sa start_window
class start_gate {
 public:
  /// Decision about one start number.
  enum class decision {
    kAdmitted,
    kDuplicate,   ///< Admitted before; its result was or will be reported.
    kStaleEpoch,  ///< Sent on an earlier connection, so it is fenced.
  };

  /// Opens the session on a new connection. Starts of earlier connections are
  /// refused from now on.
  /// \returns the epoch of the new connection.
  connection_epoch Reconnect();

  /// Decides about \p number, which arrived on the connection \p epoch.
  decision Admit(connection_epoch epoch, start_number number);

  /// \returns the highest admitted number. After Reconnect, every start of an
  /// earlier connection with a higher number is fenced.
  start_number last_accepted() const { return last_accepted_; }

  /// \returns the epoch of the current connection.
  connection_epoch epoch() const { return epoch_; }

 private:
  connection_epoch epoch_;
  start_number last_accepted_;
};

}  // namespace jayrill

#endif  // JAYRILL_SESSION_START_GATE_H_
