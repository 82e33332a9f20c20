#include "jayrill/agent/minion_departure.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace jayrill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTtl{3000};

struct departure_case {
  const char* name;
  std::string instance;  ///< Of the announcement after the leave.
  std::uint64_t life;    ///< Of the announcement after the leave.
  milliseconds after;    ///< Time from the leave to the announcement.
  bool is_accepted;
};

void PrintTo(const departure_case& param, std::ostream* out) {
  *out << param.name;
}

class minion_departure_test : public testing::TestWithParam<departure_case> {};

// Guards against a minion that has left and is in use again because one of its
// announcements arrived late.
TEST_P(minion_departure_test, IgnoresLateAnnouncements) {
  manual_clock time;
  minion_departure departure(kTtl);
  announcement minion;
  minion.instance = "i-1";
  minion.life = 7;
  ASSERT_TRUE(departure.Accept(minion, time.Now()));
  departure.OnLeave(time.Now());
  time.Advance(GetParam().after);
  minion.instance = GetParam().instance;
  minion.life = GetParam().life;
  EXPECT_EQ(departure.Accept(minion, time.Now()), GetParam().is_accepted);
  EXPECT_EQ(departure.has_left(), !GetParam().is_accepted);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    minion_departure_test,
    testing::Values(
        departure_case{"same_life", "i-1", 7, milliseconds(10), false},
        departure_case{"same_life_after_ttl", "i-1", 7, milliseconds(3100),
                       true},
        departure_case{"new_life", "i-1", 8, milliseconds(10), true},
        departure_case{"new_instance", "i-2", 9, milliseconds(10), true},
        departure_case{"no_instance", "", 0, milliseconds(10), false},
        departure_case{"no_instance_after_ttl", "", 0, milliseconds(3100),
                       true}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace jayrill
