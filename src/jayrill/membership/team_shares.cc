#include "jayrill/membership/team_shares.h"

#include <algorithm>
#include <cstdint>

namespace jayrill {

namespace {

constexpr double kEqualPart = 0.25;

std::uint64_t DemandOf(const entry_record& entry, const std::string& team) {
  const auto found = entry.team_demand.find(team);
  return found == entry.team_demand.end() ? 0 : found->second;
}

}  // namespace

std::map<std::string, double> TeamShares(
    const std::vector<entry_record>& entries,
    const std::string& self,
    const std::set<std::string>& teams) {
  const auto own =
      std::find_if(entries.begin(), entries.end(),
                   [&](const entry_record& entry) { return entry.id == self; });
  const double equal =
      1.0 / static_cast<double>(entries.size() + (own == entries.end()));
  std::set<std::string> all = teams;
  for (const entry_record& entry : entries) {
    for (const auto& [team, demand] : entry.team_demand) {
      all.insert(team);
    }
  }
  std::map<std::string, double> shares;
  for (const std::string& team : all) {
    std::uint64_t total = 0;
    for (const entry_record& entry : entries) {
      total += DemandOf(entry, team);
    }
    const double wanted =
        own == entries.end() ? 0.0 : static_cast<double>(DemandOf(*own, team));
    shares[team] = total == 0
                       ? equal
                       : kEqualPart * equal + (1.0 - kEqualPart) * wanted /
                                                  static_cast<double>(total);
  }
  return shares;
}

}  // namespace jayrill
