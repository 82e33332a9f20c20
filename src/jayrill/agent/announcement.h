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

/// What a minion tells its agent about itself.
struct announcement {
  std::string service;
  std::uint16_t port = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  std::string host;        ///< Address to call; empty: the agent's setting.
  std::string instance;    ///< Name of the minion; empty: it has none.
  std::uint64_t life = 0;  ///< Grows with each start of the minion.
  resource_amount room;    ///< That its tasks share; 0 is not limited.
  bool draining = false;   ///< It leaves soon and takes no new tasks.
  std::chrono::milliseconds warming_up{};  ///< It is slow for this long.

  auto operator<=>(const announcement&) const = default;
};

/// \returns the announcement in \p json; the error names the faulty field.
result<announcement> ParseAnnouncement(std::string_view json);

}  // namespace jayrill

#endif  // JAYRILL_AGENT_ANNOUNCEMENT_H_
