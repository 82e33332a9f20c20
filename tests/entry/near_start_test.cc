#include <gtest/gtest.h>

#include <string>

#include "fake_cluster.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

dispatch_limits Limits(double remote_factor) {
  dispatch_limits limits;
  limits.remote_factor = remote_factor;
  return limits;
}

/// Two minions with two slots each, in the racks `near` and `far`.
struct two_racks : fake_cluster {
  explicit two_racks(double remote_factor)
      : fake_cluster("jayrill", Limits(remote_factor)) {
    ChangeConfig({});
    for (const std::string rack : {"near", "far"}) {
      fake_agent& agent = AddAgent("dc1");
      agent.status().rack = rack;
      agent.Connect(entry);
    }
    AcknowledgePushes();
    Advance(seconds(2));
  }

  void SubmitNear(std::size_t tasks) {
    job_spec spec = Job(tasks, seconds(60));
    for (task_spec& task : spec.tasks) {
      task.preferred_rack = "near";
    }
    Submit(spec);
    entry.Flush();
  }

  std::size_t SentTo(std::size_t index) const {
    std::size_t starts = 0;
    for (const auto& [agent, count] : sent) {
      starts += agent == &agents[index] ? count : 0;
    }
    return starts;
  }

  near_counters Counters() { return entry.Status().counters.near[""]; }
};

struct start_case {
  std::string name;
  double remote_factor;
  std::size_t tasks;
  std::size_t near_starts;
  std::size_t far_starts;
};

class near_start_test : public testing::TestWithParam<start_case> {};

// Guards against a rack that has no effect although the setting says so, and
// against one that has an effect without it. The near minion has two slots.
TEST_P(near_start_test, StartsInThePreferredRackFirst) {
  two_racks cluster(GetParam().remote_factor);
  cluster.SubmitNear(GetParam().tasks);
  EXPECT_EQ(cluster.SentTo(0), GetParam().near_starts);
  EXPECT_EQ(cluster.SentTo(1), GetParam().far_starts);
}

INSTANTIATE_TEST_SUITE_P(
    factors,
    near_start_test,
    testing::Values(start_case{"near_place_is_free", 2, 2, 2, 0},
                    start_case{"the_others_wait", 3, 4, 2, 0},
                    start_case{"off", 1, 4, 2, 2}),
    [](const auto& item) { return item.param.name; });

// Guards against a wait without end, and against waits that are not counted.
// The near minion does not become free. It is sent one start ahead; the other
// task runs far once it has waited for the 200 ms that a near run saves.
TEST(near_start_wait_test, EndsWhenItDoesNotPayAnyMore) {
  two_racks cluster(3);
  cluster.SubmitNear(4);
  cluster.Advance(milliseconds(150));
  EXPECT_EQ(cluster.SentTo(1), 0U);
  cluster.Advance(milliseconds(150));
  EXPECT_EQ(cluster.SentTo(0), 3U);
  EXPECT_EQ(cluster.SentTo(1), 1U);
  EXPECT_EQ(cluster.Counters().far_starts, 1U);
  EXPECT_EQ(cluster.Counters().waits_unpaid, 1U);
  EXPECT_GE(cluster.Counters().waited, milliseconds(200));
}

// Guards against a minion that counts as slow because it runs the tasks of
// other racks: a far run of 300 ms at factor 3 is one of 100 ms.
TEST(near_start_learning_test, FarRunsDoNotMakeTheirMinionSlow) {
  two_racks cluster(3);
  cluster.agents[0].status().slots = 0;
  cluster.agents[0].Report(cluster.entry, true);
  for (int i = 0; i < 10; ++i) {
    cluster.SubmitNear(1);
    cluster.agents[1].DeliverBatch();
    cluster.agents[1].Execute();
    cluster.Advance(milliseconds(300));
    cluster.agents[1].Finish(task_outcome::kSucceeded, milliseconds(300));
    cluster.agents[1].Report(cluster.entry, true);
  }
  EXPECT_EQ(cluster.Counters().far_starts, 10U);
  cluster.Submit(fake_cluster::Job(1, milliseconds(120)));
  cluster.entry.Flush();
  EXPECT_EQ(cluster.SentTo(1), 11U);
}

}  // namespace
}  // namespace jayrill
