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

/// Prefix of the keys of the entry records; the id of the entry follows.
inline constexpr char kEntriesPrefix[] = "/jayrill/entries/";

/// Information that an entry publishes in the store for the other entries.
struct entry_record {
  std::string id;
  incarnation process;
  std::string rpc_address;  ///< As IP:port.
  std::string http_address;
  std::string data_centre;          ///< Empty when it is not known.
  std::uint32_t cpu_millis = 1000;  ///< Thousandths of a core it may use.
  config_revision revision;         ///< Configuration in force at the entry.
  std::uint32_t agents = 0;         ///< Agents that send reports to the entry.
  std::uint32_t agents_at_revision = 0;  ///< Those of them that use `revision`.
  std::vector<std::string> silent_agents;
  std::map<std::string, std::uint32_t> team_demand;  ///< Tasks by team.

  auto operator<=>(const entry_record&) const = default;
};

/// \returns \p record as JSON.
std::string EncodeEntryRecord(const entry_record& record);

/// \returns the record in \p json, or an error when a field is malformed, the
/// id or the process is missing, or no process can connect to the RPC address.
result<entry_record> DecodeEntryRecord(std::string_view json);

/// \returns the record that the store holds under \p key, or an error when
/// \p json is no record or is that of another entry.
result<entry_record> DecodeStoredEntryRecord(std::string_view key,
                                             std::string_view json);

}  // namespace jayrill

#endif  // JAYRILL_MEMBERSHIP_ENTRY_RECORD_H_
