#include <gtest/gtest.h>

#include "agent_core_rig.h"

namespace jayrill {
namespace {

start_request HalfOrder(std::uint64_t number) {
  start_request order = Order(number);
  order.needs = {1000, 64, 0};
  return order;
}

announcement MinionWithRoom(std::uint32_t cpu_millis) {
  announcement minion = Minion(8);
  minion.room = {cpu_millis, 1024, 0, true};
  return minion;
}

// Guards against a start that takes the room of a run that is being stopped, or
// room that the minion has no more.
TEST(shrinking_room_test, RoomIsFreeWhenTheRunHasEnded) {
  core_rig rig;
  rig.core.Announce(MinionWithRoom(2000));
  rig.Send({HalfOrder(1), HalfOrder(2), HalfOrder(3)});
  ASSERT_EQ(rig.host.calls.size(), 2U);
  // A run that is being stopped counts until its slot is free.
  rig.core.Cancel(kEntry, std::vector<start_number>{{1}, {2}});
  EXPECT_EQ(rig.host.calls.size(), 2U);
  task_result stopped;
  stopped.outcome = task_outcome::kInterrupted;
  rig.core.OnResult(rig.host.calls[0].id, stopped);
  EXPECT_EQ(rig.host.calls.size(), 2U);
  // The room shrinks to that of one run while another one is being stopped.
  rig.core.Announce(MinionWithRoom(1000));
  rig.core.OnSlotFree(rig.host.calls[0].id);
  EXPECT_EQ(rig.host.calls.size(), 2U);
  rig.core.OnResult(rig.host.calls[1].id, stopped);
  rig.core.OnSlotFree(rig.host.calls[1].id);
  EXPECT_EQ(rig.host.calls.size(), 3U);
  // Nothing is left, and later all of it again.
  rig.core.Announce(MinionWithRoom(0));
  rig.Send({HalfOrder(4)});
  EXPECT_EQ(rig.host.calls.size(), 3U);
  rig.core.Announce(MinionWithRoom(2000));
  EXPECT_EQ(rig.host.calls.size(), 4U);
}

}  // namespace
}  // namespace jayrill
