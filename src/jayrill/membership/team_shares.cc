#include "jayrill/membership/team_shares.h"

#include <algorithm>
#include <cstdint>

namespace jayrill {

namespace {

// Fraction of each quota that is split equally.
constexpr double kEqualFraction = 0.25;

std::uint64_t DemandOf(const entry_record& entry, const std::string& team) {
  const auto found = entry.team_demand.find(team);
  return found == entry.team_demand.end() ? 0 : found->second;
}

}  // namespace

std::map<std::string, double> TeamShares(
    const std::vector<entry_record>& entries,
    const std::string& self,
    const std::set<std::string>& teams) {
  const auto own_entry =
      std::find_if(entries.begin(), entries.end(),
                   [&](const entry_record& entry) { return entry.id == self; });
  const double equal_share =
      1.0 / static_cast<double>(entries.size() + (own_entry == entries.end()));
  std::set<std::string> all_teams = teams;
  for (const entry_record& entry : entries) {
    for (const auto& [team, demand] : entry.team_demand) {
      all_teams.insert(team);
    }
  }
  std::map<std::string, double> shares;
  for (const std::string& team : all_teams) {
    std::uint64_t total = 0;
    for (const entry_record& entry : entries) {
      total += DemandOf(entry, team);
    }
    const double own_demand =
        own_entry == entries.end()
            ? 0.0
            : static_cast<double>(DemandOf(*own_entry, team));
    shares[team] = total == 0 ? equal_share
                              : kEqualFraction * equal_share +
                                    (1.0 - kEqualFraction) * own_demand /
                                        static_cast<double>(total);
  }
  return shares;
}

}  // namespace jayrill
