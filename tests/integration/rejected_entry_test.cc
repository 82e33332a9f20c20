#include <ostream>
#include <set>

#include "agent_store_fixture.h"

namespace jayrill {
namespace {

constexpr char kEvacuation[] = "op/evacuate/east";

/// What becomes of the data centre of an agent whose only entry is rejected by
/// the store and so learns nothing of it.
struct rejection_case {
  const char* name;
  bool is_out_at_start = false;
  bool is_store_down_first = false;
};

void PrintTo(const rejection_case& param, std::ostream* out) {
  *out << param.name;
}

class rejected_entry_test : public agent_store_fixture,
                            public testing::WithParamInterface<rejection_case> {
 protected:
  /// Sends starts until one ends with \p outcome.
  bool WaitForOutcome(task_outcome outcome) {
    return WaitFor([&] {
      last_ = RunOne(Order(++number_, 0));
      return last_.outcome == outcome;
    });
  }

  /// \returns true when the last list that the agent has sent is \p out.
  bool HasToldEntry(const std::set<std::string>& out) {
    const out_list list = entry.Record().newest_out_list;
    return list.revision.value != 0 && list.data_centres == out;
  }

  std::uint64_t number_ = 0;
  task_result last_;
};

// Guards against an agent that goes on to start tasks in an evacuated data
// centre while the store rejects its entries, or starts none after the end of
// the evacuation: it learnt of both from entries alone. Also guards against an
// entry that is not told of them.
TEST_P(rejected_entry_test, TheAgentLearnsOfAnEvacuationAndOfItsEnd) {
  if (GetParam().is_out_at_start) {
    store.Put(kEvacuation, "{}");
  }
  store.SetDown(GetParam().is_store_down_first);
  LaunchWithStore();
  if (!GetParam().is_out_at_start) {
    ASSERT_TRUE(WaitForOutcome(task_outcome::kSucceeded));
    store.Put(kEvacuation, "{}");
  }
  if (GetParam().is_store_down_first) {
    // Nobody can learn of a change, and tasks go on.
    ASSERT_TRUE(WaitFor([&] { return store.refused() > 1; }));
    ASSERT_TRUE(WaitForOutcome(task_outcome::kSucceeded));
    store.SetDown(false);
  }
  ASSERT_TRUE(WaitForOutcome(task_outcome::kNotRun));
  EXPECT_EQ(last_.reason, not_run_reason::kDataCentreOut);
  EXPECT_TRUE(WaitFor([&] { return HasToldEntry({"east"}); }));
  store.Delete(kEvacuation);
  EXPECT_TRUE(WaitForOutcome(task_outcome::kSucceeded));
  EXPECT_TRUE(WaitFor([&] { return HasToldEntry({}); }));
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    rejected_entry_test,
    testing::Values(rejection_case{"during_the_rejection"},
                    rejection_case{"before_the_agent_starts", true},
                    rejection_case{"the_store_was_down_for_all", false, true}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace jayrill
