#ifndef JAYRILL_MEMBERSHIP_TEAM_SHARES_H_
#define JAYRILL_MEMBERSHIP_TEAM_SHARES_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "jayrill/membership/entry_record.h"

namespace jayrill {

/// Splits each team's quota over the entries by their demand.
///
/// A quarter of the quota is split equally, so that an entry with new demand
/// can start tasks before its record has reached the others. The rest is split
/// by demand. Entries that see the same records compute shares that add up
/// to 1.
///
/// \returns the share, 0 to 1, of the entry \p self for each team in \p teams
/// or in the demand of an entry. If \p self is not in \p entries, it counts as
/// a further entry without demand.
std::map<std::string, double> TeamShares(
    const std::vector<entry_record>& entries,
    const std::string& self,
    const std::set<std::string>& teams);

}  // namespace jayrill

#endif  // JAYRILL_MEMBERSHIP_TEAM_SHARES_H_
