#include "jayrill/agent/entry_selection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace jayrill {
namespace {

constexpr std::size_t kLimit = 12;
constexpr int kAgents = 240;
constexpr std::uint32_t kSmall = 90;   ///< Thousandths of a core.
constexpr std::uint32_t kLarge = 500;  ///< Thousandths of a core.
constexpr std::size_t kDataCentres = 6;

std::string DataCentre(std::size_t index) {
  return "dc" + std::to_string(index % kDataCentres);
}

/// \returns \p count entries spread over kDataCentres; every other group of
/// them is small.
std::vector<entry_endpoint> Entries(std::size_t count) {
  std::vector<entry_endpoint> entries;
  for (std::size_t i = 0; i < count; ++i) {
    const bool is_small = i / kDataCentres % 2 == 1;
    entries.push_back({"10.0.0." + std::to_string(i) + ":8121", DataCentre(i),
                       is_small ? kSmall : kLarge});
  }
  return entries;
}

std::set<std::string> Select(int agent,
                             const std::vector<entry_endpoint>& entries) {
  return SelectEntries("agent-" + std::to_string(agent),
                       DataCentre(static_cast<std::size_t>(agent)), entries,
                       kLimit);
}

/// \returns the number of agents that select each entry.
std::map<std::string, int> SessionsByEntry(
    const std::vector<entry_endpoint>& entries) {
  std::map<std::string, int> sessions;
  for (int agent = 0; agent < kAgents; ++agent) {
    for (const std::string& address : Select(agent, entries)) {
      ++sessions[address];
    }
  }
  return sessions;
}

struct limit_case {
  const char* name;
  std::size_t entries;
  std::size_t expected;
};

void PrintTo(const limit_case& param, std::ostream* out) {
  *out << param.name;
}

class selection_limit_test : public testing::TestWithParam<limit_case> {};

// Guards against an agent that connects to every entry of a large fleet, and
// against one that leaves out entries of a small site.
TEST_P(selection_limit_test, SelectsUpToTheLimit) {
  EXPECT_EQ(Select(1, Entries(GetParam().entries)).size(), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         selection_limit_test,
                         testing::Values(limit_case{"none", 0, 0},
                                         limit_case{"small_site", 4, 4},
                                         limit_case{"at_limit", 12, 12},
                                         limit_case{"large_fleet", 55, 12}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against an entry without minions to choose from, and against an entry
// whose sessions grow with the fleet.
TEST(entry_selection_test, EachEntryGetsSessionsByItsProcessorShare) {
  const std::vector<entry_endpoint> entries = Entries(55);
  std::map<std::string, int> sessions = SessionsByEntry(entries);
  int fewest_of_large = kAgents;
  for (const entry_endpoint& entry : entries) {
    EXPECT_GE(sessions[entry.address], 10) << entry.address;
    EXPECT_LT(sessions[entry.address], kAgents / 2) << entry.address;
    if (entry.cpu_millis == kLarge) {
      fewest_of_large = std::min(fewest_of_large, sessions[entry.address]);
    }
  }
  EXPECT_GT(fewest_of_large, 40);
}

// Guards against a wave of new connections when one entry of many is replaced.
TEST(entry_selection_test, RemovingAnEntryMovesOnlyItsOwnSessions) {
  const std::vector<entry_endpoint> entries = Entries(55);
  std::vector<entry_endpoint> fewer = entries;
  fewer.erase(fewer.begin() + 7);
  for (int agent = 0; agent < kAgents; ++agent) {
    std::set<std::string> before = Select(agent, entries);
    before.erase(entries[7].address);
    const std::set<std::string> after = Select(agent, fewer);
    EXPECT_TRUE(std::includes(after.begin(), after.end(), before.begin(),
                              before.end()));
  }
}

// Guards against traffic between data centres that is not needed, and against
// entries that lose all minions when their data centre goes out of service.
TEST(entry_selection_test, PrefersButDoesNotRequireTheOwnDataCentre) {
  const std::vector<entry_endpoint> entries = Entries(54);
  int local = 0;
  int all = 0;
  for (int agent = 0; agent < kAgents; ++agent) {
    for (const std::string& address : Select(agent, entries)) {
      const auto entry = std::find_if(
          entries.begin(), entries.end(),
          [&](const auto& item) { return item.address == address; });
      local += entry->data_centre == DataCentre(static_cast<std::size_t>(agent))
                   ? 1
                   : 0;
      ++all;
    }
  }
  EXPECT_GT(local * 4, all);
  EXPECT_LT(local * 2, all);
}

}  // namespace
}  // namespace jayrill
