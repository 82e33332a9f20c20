#ifndef JAYRILL_ENTRY_AGENT_HELLO_H_
#define JAYRILL_ENTRY_AGENT_HELLO_H_

#include <chrono>
#include <string>

#include "jayrill/base/ids.h"
#include "jayrill/job/task_result.h"
#include "jayrill/session/session_number.h"

namespace jayrill {

/// Identifies an agent within one entry. Stays the same for all connections and
/// incarnations of the agent.
using agent_handle = strong_id<struct agent_handle_tag>;

/// Identifies an accepted connection within one entry.
using connection_id = strong_id<struct connection_id_tag>;

/// The data that an agent sends about itself in the handshake.
struct agent_hello {
  std::string agent_id;
  incarnation process;
  std::string data_centre;
  std::string worker;
  std::string rack;
  connection_epoch epoch;
  start_number last_accepted;
  session_number session;  ///< That the agent knows; 0: not known.
  minion_status status;
  /// When the agent sent it, on its steady clock; zero: not known.
  std::chrono::microseconds sent{};

  auto operator<=>(const agent_hello&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_AGENT_HELLO_H_
