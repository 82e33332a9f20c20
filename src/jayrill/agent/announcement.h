#ifndef JAYRILL_AGENT_ANNOUNCEMENT_H_
#define JAYRILL_AGENT_ANNOUNCEMENT_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "jayrill/base/error.h"
#include "jayrill/job/resource_amount.h"

namespace jayrill {

/// Address, capacity and state that a minion announces to its agent.
struct announcement {
  std::string service;
  std::uint16_t port = 0;
  std::uint32_t slots = 0;        ///< Tasks that it runs at a time.
  std::uint32_t connections = 0;  ///< Connections that it accepts.
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  /// Address of the minion; empty: agent_settings::minion_host.
  std::string host;
  std::string instance;    ///< Name of the minion; empty: it has none.
  std::uint64_t life = 0;  ///< Incarnation; grows with each start.
  /// Grows with each announcement of one life; 0: they are not numbered.
  std::uint64_t sequence = 0;
  /// Capacity that its tasks share; 0 is not limited.
  resource_amount room;
  std::string rack;       ///< Empty: agent_settings::rack.
  bool draining = false;  ///< It will stop and takes no new tasks.
  /// For how long the minion is still slow after its start.
  std::chrono::milliseconds warm_up_remaining{};

  auto operator<=>(const announcement&) const = default;
};

/// \returns the announcement in \p json, or an error that names the first
/// invalid field.
result<announcement> ParseAnnouncement(std::string_view json);

}  // namespace jayrill

#endif  // JAYRILL_AGENT_ANNOUNCEMENT_H_
