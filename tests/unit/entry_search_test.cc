#include "jayrill/agent/entry_search.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "manual_scheduler.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A directory that answers after a round trip and records when it was asked.
class recording_directory final : public entry_directory {
 public:
  recording_directory(manual_clock& time, manual_scheduler& timers)
      : time_(time), timers_(timers), start_(time.Now()) {}

  void Find(std::function<void(found_entries)> done) override {
    asked_after.push_back(
        std::chrono::duration_cast<milliseconds>(time_.Now() - start_));
    timers_.After(milliseconds(4), [done = std::move(done)] { done({}); });
  }

  std::vector<milliseconds> asked_after;

 private:
  manual_clock& time_;
  manual_scheduler& timers_;
  steady_time start_;
};

struct entry_search_test : testing::Test {
  std::unique_ptr<entry_search> MakeSearch(std::uint64_t seed) {
    return std::make_unique<entry_search>(
        directory, timers, random_source(seed),
        [this](const found_entries&) { ++found; });
  }

  manual_clock time;
  manual_scheduler timers{time};
  recording_directory directory{time, timers};
  int found = 0;
};

// Guards against an agent that starts with stale seeds and never learns where
// the entries are.
TEST_F(entry_search_test, AnAgentWithoutEntriesLooksThemUpAgainAndAgain) {
  const auto search = MakeSearch(1);
  search->SetConnectedEntries(0);
  timers.RunFor(seconds(12));
  ASSERT_GE(directory.asked_after.size(), 4U);
  EXPECT_LE(directory.asked_after.front(), entry_search::kFirstDelay);
  EXPECT_EQ(static_cast<std::size_t>(found), directory.asked_after.size());
}

struct connection_case {
  std::string name;
  std::size_t connected = 0;
  bool looks_up = false;
};

class connected_entries_test
    : public entry_search_test,
      public testing::WithParamInterface<connection_case> {};

// Guards against reads of the store by each agent of a fleet that works, and
// against an agent whose only entry knows no others.
TEST_P(connected_entries_test, OnlyTooFewEntriesAreLookedUp) {
  const auto search = MakeSearch(1);
  search->SetConnectedEntries(0);
  timers.RunFor(milliseconds(300));
  search->SetConnectedEntries(GetParam().connected);
  timers.RunFor(seconds(60));
  EXPECT_EQ(!directory.asked_after.empty(), GetParam().looks_up);
}

INSTANTIATE_TEST_SUITE_P(numbers,
                         connected_entries_test,
                         testing::Values(connection_case{"none", 0, true},
                                         connection_case{"one", 1, true},
                                         connection_case{"two", 2, false},
                                         connection_case{"twelve", 12, false}),
                         [](const auto& param) { return param.param.name; });

// Guards against a search that goes on after it has succeeded, and against one
// that does not begin anew when all entries are lost later.
TEST_F(entry_search_test, EachLossOfTheEntriesStartsOneSearch) {
  const auto search = MakeSearch(1);
  search->SetConnectedEntries(0);
  timers.RunFor(seconds(5));
  search->SetConnectedEntries(3);
  const std::size_t first = directory.asked_after.size();
  timers.RunFor(seconds(60));
  EXPECT_EQ(directory.asked_after.size(), first);
  search->SetConnectedEntries(0);
  timers.RunFor(entry_search::kFirstDelay);
  EXPECT_EQ(directory.asked_after.size(), first + 1);
}

// Guards against a thousand agents that start together and all read the store
// in the same moment.
TEST_F(entry_search_test, AgentsThatStartTogetherSpreadTheirReads) {
  constexpr std::uint64_t kAgents = 1000;
  constexpr milliseconds kSlot{50};
  constexpr std::size_t kMostInOneSlot = 120;
  std::vector<std::unique_ptr<entry_search>> searches;
  for (std::uint64_t seed = 1; seed <= kAgents; ++seed) {
    searches.push_back(MakeSearch(seed));
    searches.back()->SetConnectedEntries(0);
  }
  timers.RunFor(seconds(12));
  std::map<std::int64_t, std::size_t> reads;
  for (const milliseconds delay : directory.asked_after) {
    ++reads[delay / kSlot];
  }
  for (const auto& [slot, count] : reads) {
    EXPECT_LE(count, kMostInOneSlot) << "slot " << slot;
  }
  EXPECT_LE(directory.asked_after.size(), 6 * kAgents);
}

}  // namespace
}  // namespace jayrill
