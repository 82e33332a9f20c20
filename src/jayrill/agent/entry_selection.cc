#include "jayrill/agent/entry_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jayrill {

namespace {

/// Weight of an entry of the agent's own data centre relative to one elsewhere.
/// The others remain likely enough that an entry keeps most of its sessions
/// when a data centre goes out of service.
constexpr double kLocalPreference = 3.0;

/// Added to the processor share of each entry, in thousandths of a core. Even
/// the smallest entry then has enough sessions to choose between minions.
constexpr double kBaseMillis = 100.0;

/// \returns a number above 0 and below 1 that is the same for the same pair in
/// every process.
double HashFraction(std::string_view agent_id, std::string_view address) {
  const XXH64_hash_t seed = XXH64(agent_id.data(), agent_id.size(), 0);
  const XXH64_hash_t hash = XXH64(address.data(), address.size(), seed);
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2 to the power -53.
  return (static_cast<double>(hash >> 11U) + 0.5) * kScale;
}

/// \returns the position of \p entry in the order of preference of an agent;
/// lower is better. The entry with the lowest of these exponentially
/// distributed values is each entry with a probability in proportion to its
/// weight.
double Rank(std::string_view agent_id,
            std::string_view data_centre,
            const entry_endpoint& entry) {
  const bool is_local =
      !data_centre.empty() && entry.data_centre == data_centre;
  const double weight = (kBaseMillis + static_cast<double>(entry.cpu_millis)) *
                        (is_local ? kLocalPreference : 1.0);
  return -std::log(HashFraction(agent_id, entry.address)) / weight;
}

}  // namespace

std::set<std::string> SelectEntries(std::string_view agent_id,
                                    std::string_view data_centre,
                                    const std::vector<entry_endpoint>& entries,
                                    std::size_t limit) {
  std::vector<std::pair<double, std::string>> ranked;
  ranked.reserve(entries.size());
  for (const entry_endpoint& entry : entries) {
    ranked.emplace_back(Rank(agent_id, data_centre, entry), entry.address);
  }
  std::sort(ranked.begin(), ranked.end());
  std::set<std::string> selected;
  for (const auto& [rank, address] : ranked) {
    if (selected.size() == limit) {
      break;
    }
    selected.insert(address);
  }
  return selected;
}

}  // namespace jayrill
