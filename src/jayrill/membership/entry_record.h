#ifndef JAYRILL_MEMBERSHIP_ENTRY_RECORD_H_
#define JAYRILL_MEMBERSHIP_ENTRY_RECORD_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jayrill/base/error.h"
#include "jayrill/base/ids.h"

namespace jayrill {

/// What an entry tells the other entries about itself.
struct entry_record {
  std::string id;
  incarnation process;
  std::string rpc_address;  ///< As IP:port.
  std::string http_address;
  config_revision revision;  ///< Configuration in force at the entry.
  std::uint32_t agents = 0;  ///< Agents that it hears from.
  std::uint32_t agents_at_revision = 0;  ///< Those of them at `revision`.
  std::vector<std::string> silent_agents;
  std::map<std::string, std::uint32_t> team_demand;  ///< Tasks by team.

  auto operator<=>(const entry_record&) const = default;
};

/// \returns the JSON form of \p record.
std::string EncodeEntryRecord(const entry_record& record);
result<entry_record> DecodeEntryRecord(std::string_view json);

}  // namespace jayrill

#endif  // JAYRILL_MEMBERSHIP_ENTRY_RECORD_H_
