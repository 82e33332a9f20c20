#include <gtest/gtest.h>

#include <limits>

#include "jayrill/agent/run_queue.h"

namespace jayrill {
namespace {

struct room_case {
  const char* name;
  resource_amount room;   ///< Of the minion, as it says last.
  resource_amount needs;  ///< Of the start that arrives.
  bool starts;
};

class headroom_test : public testing::TestWithParam<room_case> {};

/// What runs on the minion when the start arrives.
constexpr resource_amount kInUse{1000, 64, 0};
constexpr auto kHuge = std::numeric_limits<std::uint32_t>::max();

queued_start Start(std::uint64_t number, const resource_amount& needs) {
  queued_start start;
  start.order.number = {number};
  start.order.needs = needs;
  return start;
}

// Guards against a start that brings a minion over its headroom: where a
// resource has shrunk to nothing or was never there, where the room is below
// what is in use, and where the sum of the needs overflows.
TEST_P(headroom_test, IsNeverExceeded) {
  run_queue queue(4);
  queue.Push(Start(1, kInUse));
  ASSERT_TRUE(queue.TakeNext(4, {16'000, 32'768, 1}));
  queue.Push(Start(2, GetParam().needs));
  EXPECT_EQ(queue.TakeNext(4, GetParam().room).has_value(), GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
    rooms,
    headroom_test,
    testing::Values(
        room_case{"fits", {2000, 128, 0, true}, {1000, 64, 0}, true},
        room_case{"unlimited", {0, 0, 0, false}, {1000, 64, 1}, true},
        room_case{"no_processor", {0, 32'768, 0, true}, {1000, 64, 0}, false},
        room_case{"no_memory", {16'000, 0, 0, true}, {1000, 64, 0}, false},
        room_case{"no_accelerator",
                  {16'000, 32'768, 0, true},
                  {1000, 64, 1},
                  false},
        room_case{"below_use", {500, 32'768, 0, true}, {1, 1, 0}, false},
        room_case{"huge_processor",
                  {16'000, 32'768, 1, true},
                  {kHuge, 64, 0},
                  false},
        room_case{"huge_memory",
                  {16'000, 32'768, 1, true},
                  {1000, kHuge, 0},
                  false}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace jayrill
