#ifndef JAYRILL_AGENT_ANNOUNCEMENT_H_
#define JAYRILL_AGENT_ANNOUNCEMENT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "jayrill/base/error.h"

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

  auto operator<=>(const announcement&) const = default;
};

/// \returns the announcement in \p json; the error names the faulty field.
result<announcement> ParseAnnouncement(std::string_view json);

}  // namespace jayrill

#endif  // JAYRILL_AGENT_ANNOUNCEMENT_H_
