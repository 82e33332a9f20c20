#include "jayrill/placement/near_place.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace jayrill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

const rack_id kNearRack = RackId("r1-1");
const rack_id kFarRack = RackId("r1-2");
constexpr steady_time kNow = steady_time{} + std::chrono::hours(1);
constexpr microseconds kRunTime{200'000};
constexpr milliseconds kLongSlack{10'000};

std::unique_ptr<placement_strategy> Strategy() {
  return std::move(*MakePlacementStrategy("jayrill", random_source(1)));
}

minion_view Minion(rack_id rack, std::uint32_t load, milliseconds free_after) {
  minion_view view;
  view.rack = rack;
  view.slots = 1;
  view.start_limit = 1;
  view.other_load = load;
  view.time_until_free = free_after;
  return view;
}

near_task Task(std::uint32_t index = 0, steady_time arrival = kNow) {
  near_task task;
  task.job = {incarnation{1}, 1};
  task.index = index;
  task.rack = kNearRack;
  task.arrival = arrival;
  return task;
}

task_demand Demand(milliseconds slack = kLongSlack) {
  task_demand demand;
  demand.run_time = kRunTime;
  demand.slack = slack;
  return demand;
}

/// Where a task of kNearRack goes.
enum class place { kNear, kWaits, kFar, kNowhere };

place PlaceOf(near_place& decision,
              const near_task& task,
              const task_demand& demand,
              const std::vector<minion_view>& minions,
              steady_time now = kNow) {
  const auto strategy = Strategy();
  const auto choice = decision.Prefer(task, demand, minions, now, *strategy);
  if (!choice) {
    return place::kNowhere;
  }
  if (!choice->start_now) {
    return place::kWaits;
  }
  return minions[choice->index].rack == kNearRack ? place::kNear : place::kFar;
}

struct wait_case {
  std::string name;
  double remote_factor;
  milliseconds free_after;
  milliseconds age;
  milliseconds slack;
  place expected;
};

class near_wait_test : public testing::TestWithParam<wait_case> {};

// Guards against a task that waits although the far run would end sooner, and
// against one that runs far although a near place is about to come free. A far
// place is free; a run takes 200 ms near and factor times that far.
TEST_P(near_wait_test, WaitsWhileItPays) {
  const wait_case& test = GetParam();
  near_place decision(test.remote_factor);
  EXPECT_EQ(PlaceOf(decision, Task(0, kNow - test.age), Demand(test.slack),
                    {Minion(kNearRack, 1, test.free_after),
                     Minion(kFarRack, 0, milliseconds(0))}),
            test.expected);
}

constexpr milliseconds kNew{0};

INSTANTIATE_TEST_SUITE_P(
    waits,
    near_wait_test,
    testing::Values(wait_case{"free_in_5_ms_factor_1_5", 1.5, milliseconds(5),
                              kNew, kLongSlack, place::kNear},
                    wait_case{"free_in_50_ms_factor_1_5", 1.5, milliseconds(50),
                              kNew, kLongSlack, place::kWaits},
                    wait_case{"free_in_500_ms_factor_1_5", 1.5,
                              milliseconds(500), kNew, kLongSlack, place::kFar},
                    wait_case{"free_in_5_ms_factor_2", 2, milliseconds(5), kNew,
                              kLongSlack, place::kNear},
                    wait_case{"free_in_50_ms_factor_2", 2, milliseconds(50),
                              kNew, kLongSlack, place::kWaits},
                    wait_case{"free_in_500_ms_factor_2", 2, milliseconds(500),
                              kNew, kLongSlack, place::kFar},
                    wait_case{"free_in_50_ms_factor_3", 3, milliseconds(50),
                              kNew, kLongSlack, place::kWaits},
                    wait_case{"free_in_390_ms_factor_3", 3, milliseconds(390),
                              kNew, kLongSlack, place::kWaits},
                    wait_case{"free_in_500_ms_factor_3", 3, milliseconds(500),
                              kNew, kLongSlack, place::kFar},
                    wait_case{"has_waited_for_what_it_saves", 2,
                              milliseconds(50), milliseconds(200), kLongSlack,
                              place::kFar},
                    wait_case{"near_is_just_in_time", 2, milliseconds(190),
                              kNew, milliseconds(400), place::kWaits},
                    wait_case{"both_would_be_late", 2, milliseconds(199), kNew,
                              milliseconds(398), place::kWaits},
                    wait_case{"little_to_save", 1.01, milliseconds(50), kNew,
                              kLongSlack, place::kFar}),
    [](const auto& item) { return item.param.name; });

// Guards against a task that waits for its objective to pass: the near run
// would end after it, the far run in time.
TEST(near_objective_test, RunsFarWhenOnlyThatIsInTime) {
  near_place decision(2);
  task_demand demand = Demand(milliseconds(410));
  minion_view near = Minion(kNearRack, 1, milliseconds(150));
  near.slowness = 1.4;  // 150 + 280 ms
  EXPECT_EQ(PlaceOf(decision, Task(), demand,
                    {near, Minion(kFarRack, 0, milliseconds(0))}),
            place::kFar);
}

struct rack_case {
  std::string name;
  std::vector<minion_view> minions;
  place expected;
};

class near_rack_test : public testing::TestWithParam<rack_case> {};

// Guards against a wait for a rack that has no place to offer: one that is
// drained, evacuated or gone has no usable minion, so the entry passes none.
TEST_P(near_rack_test, WaitsForUsableMinionsOnly) {
  near_place decision(3);
  EXPECT_EQ(PlaceOf(decision, Task(), Demand(), GetParam().minions),
            GetParam().expected);
}

minion_view Blocked(minion_view view) {
  view.start_limit = 0;
  return view;
}

INSTANTIATE_TEST_SUITE_P(
    racks,
    near_rack_test,
    testing::Values(
        rack_case{"near_is_free",
                  {Minion(kFarRack, 0, kNew), Minion(kNearRack, 0, kNew)},
                  place::kNear},
        rack_case{"rack_is_gone", {Minion(kFarRack, 0, kNew)}, place::kFar},
        rack_case{
            "near_gets_no_starts",
            {Blocked(Minion(kNearRack, 0, kNew)), Minion(kFarRack, 0, kNew)},
            place::kFar},
        rack_case{"rack_is_unknown", {Minion(rack_id{}, 0, kNew)}, place::kFar},
        rack_case{"all_are_busy",
                  {Minion(kNearRack, 1, milliseconds(50)),
                   Minion(kFarRack, 1, milliseconds(50))},
                  place::kWaits},
        rack_case{"no_minion", {}, place::kNowhere}),
    [](const auto& item) { return item.param.name; });

// Guards against a queue that builds up in front of a hot rack. Load: 40 tasks
// want the rack of one minion that is busy for 50 ms; other racks are free.
TEST(hot_rack_test, TheTasksThatWouldWaitTooLongRunFarAtOnce) {
  near_place decision(2);
  std::vector<minion_view> minions{Minion(kNearRack, 1, milliseconds(50))};
  for (int i = 0; i < 40; ++i) {
    minions.push_back(Minion(kFarRack, 0, milliseconds(0)));
  }
  int waiting = 0;
  for (std::uint32_t i = 0; i < 40; ++i) {
    if (PlaceOf(decision, Task(i), Demand(), minions) == place::kWaits) {
      ++waiting;
      minions.front().time_until_free += kRunTime;
    }
  }
  EXPECT_EQ(waiting, 1);
}

// Guards against estimates that stay wrong: with waits that take three times as
// long as expected, tasks of that rack stop waiting for what does not pay. A
// near place that is expected in 100 ms comes in 300 ms, and 200 ms are saved.
TEST(near_learning_test, WaitsAreCorrectedByThoseBefore) {
  near_place decision(2);
  const std::vector<minion_view> minions{
      Minion(kNearRack, 1, milliseconds(100)),
      Minion(kFarRack, 0, milliseconds(0))};
  steady_time now = kNow;
  int waits = 0;
  for (std::uint32_t i = 0; i < 20; ++i) {
    const near_task task = Task(i, now);
    if (PlaceOf(decision, task, Demand(), minions, now) != place::kWaits) {
      continue;
    }
    ++waits;
    now += milliseconds(300);
    const auto end = decision.OnStarted(task, kNearRack, now);
    ASSERT_TRUE(end);
    EXPECT_FALSE(end->has_paid);
  }
  EXPECT_GE(waits, 1);
  EXPECT_LE(waits, 4);
}

// Guards against a count of waits that never took place.
TEST(near_wait_end_test, ReportsEachWaitOnce) {
  near_place decision(2);
  const near_task task = Task();
  EXPECT_FALSE(decision.OnStarted(task, kNearRack, kNow));
  ASSERT_EQ(PlaceOf(decision, task, Demand(),
                    {Minion(kNearRack, 1, milliseconds(50)),
                     Minion(kFarRack, 0, milliseconds(0))}),
            place::kWaits);
  const auto end = decision.OnStarted(task, kNearRack, kNow + milliseconds(60));
  ASSERT_TRUE(end);
  EXPECT_EQ(*end, (near_wait_end{milliseconds(60), true, true}));
  EXPECT_FALSE(decision.OnStarted(task, kNearRack, kNow));
}

// Guards against a wait without bound: whatever the estimates say and however
// wrong they are, a task has ended after at most twice the time of the far run
// that it could have had at once.
RC_GTEST_PROP(near_regret_property, ATaskTakesAtMostTwiceTheBetterChoice, ()) {
  const double factor = *rc::gen::inRange(11, 40) / 10.0;
  near_place decision(factor);
  const milliseconds truly_free(*rc::gen::inRange(0, 3000));
  const auto strategy = Strategy();
  const near_task task = Task();
  const double near_ms = 200;
  const double far_ms = near_ms * factor;
  double end_ms = 0;
  for (milliseconds elapsed{0};; elapsed += milliseconds(10)) {
    const bool is_free = elapsed >= truly_free;
    const milliseconds estimate(*rc::gen::inRange(11, 400));
    const std::vector<minion_view> minions{
        Minion(kNearRack, is_free ? 0 : 1, estimate),
        Minion(kFarRack, 0, milliseconds(0))};
    const auto choice =
        decision.Prefer(task, Demand(), minions, kNow + elapsed, *strategy);
    RC_ASSERT(choice.has_value());
    if (choice->start_now) {
      const bool is_near = minions[choice->index].rack == kNearRack;
      end_ms =
          static_cast<double>(elapsed.count()) + (is_near ? near_ms : far_ms);
      break;
    }
  }
  const double better_ms =
      std::min(far_ms, static_cast<double>(truly_free.count()) + near_ms);
  // The task looks again every 10 ms.
  RC_ASSERT(end_ms <= 2 * better_ms + 10);
}

struct group_case {
  std::string name;
  std::uint32_t size;
  std::vector<minion_view> minions;
  rack_id rack;  ///< 0: the group is spread.
};

class group_test : public testing::TestWithParam<group_case> {};

// Guards against a group that waits for a rack although it would end sooner
// spread over several, and against one that is spread without need.
TEST_P(group_test, ChoosesTheRackWhereTheLastTaskEndsFirst) {
  near_place decision(2);
  near_task task = Task();
  task.rack = {};
  task.group_size = GetParam().size;
  const auto strategy = Strategy();
  decision.Prefer(task, Demand(), GetParam().minions, kNow, *strategy);
  EXPECT_EQ(decision.RackOf(task), GetParam().rack);
  EXPECT_EQ(decision.RunTimeFactor(task, kNearRack),
            GetParam().rack == kNearRack ? 1 : 2);
}

INSTANTIATE_TEST_SUITE_P(
    groups,
    group_test,
    testing::Values(
        group_case{"fits_into_one_rack",
                   2,
                   {Minion(kFarRack, 0, kNew), Minion(kNearRack, 0, kNew),
                    Minion(kNearRack, 0, kNew)},
                   kNearRack},
        group_case{"last_place_comes_soon",
                   2,
                   {Minion(kFarRack, 0, kNew), Minion(kNearRack, 0, kNew),
                    Minion(kNearRack, 1, milliseconds(50))},
                   kNearRack},
        group_case{"last_place_comes_late",
                   2,
                   {Minion(kFarRack, 0, kNew), Minion(kNearRack, 0, kNew),
                    Minion(kNearRack, 1, milliseconds(500))},
                   rack_id{}},
        group_case{"racks_are_unknown",
                   2,
                   {Minion(rack_id{}, 0, kNew), Minion(rack_id{}, 0, kNew)},
                   rack_id{}}),
    [](const auto& item) { return item.param.name; });

}  // namespace
}  // namespace jayrill
