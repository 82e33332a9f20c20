#ifndef JAYRILL_CLI_COMMAND_SET_H_
#define JAYRILL_CLI_COMMAND_SET_H_

#include <cstdint>

namespace jayrill {

/// Set of commands, one bit each. A setting lists its commands as such a set.
using command_set = std::uint32_t;

inline constexpr command_set kNoCommand = 0;
inline constexpr command_set kEntry = 1U << 0U;
inline constexpr command_set kAgent = 1U << 1U;
inline constexpr command_set kSampleBackend = 1U << 2U;
inline constexpr command_set kStandalone = 1U << 3U;
inline constexpr command_set kSubmit = 1U << 4U;
inline constexpr command_set kProfile = 1U << 5U;
inline constexpr command_set kService = 1U << 6U;
inline constexpr command_set kTeam = 1U << 7U;
inline constexpr command_set kDataCentre = 1U << 8U;
inline constexpr command_set kStatus = 1U << 9U;
inline constexpr command_set kAudit = 1U << 10U;
inline constexpr command_set kLoad = 1U << 11U;
/// Commands that change the configuration.
inline constexpr command_set kConfigCommands =
    kProfile | kService | kTeam | kDataCentre;
/// Commands that call the operator interface of an entry.
inline constexpr command_set kOperatorCommands =
    kConfigCommands | kStatus | kAudit;
inline constexpr command_set kAnyCommand = ~kNoCommand;

}  // namespace jayrill

#endif  // JAYRILL_CLI_COMMAND_SET_H_
