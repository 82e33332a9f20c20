#include <gtest/gtest.h>

#include <ostream>

#include "fake_cluster.h"
#include "jayrill/entry/heartbeat.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A way in which one of two agents stops taking starts.
struct leaving_case {
  const char* name;
  std::function<void(fake_cluster&, fake_agent&)> leave;
};

/// Prints the name, so that test names contain no addresses.
void PrintTo(const leaving_case& param, std::ostream* out) {
  *out << param.name;
}

class leaving_test : public testing::TestWithParam<leaving_case> {
 protected:
  leaving_test() {
    cluster_config config;
    config.data_centres["dc1"];
    config.data_centres["dc2"];
    cluster_.ChangeConfig(config);
    remaining_ = &cluster_.AddAgent("dc1");
    leaving_ = &cluster_.AddAgent("dc2");
    remaining_->Connect(cluster_.entry);
    leaving_->Connect(cluster_.entry);
    cluster_.Advance(seconds(1));
    cluster_.AcknowledgePushes();
  }

  /// Lets \p agent run the starts that it has received, and report.
  void RunDeliveredTasks(fake_agent& agent) {
    for (int i = 0; i < 4; ++i) {
      agent.DeliverBatch();
      agent.Execute();
      agent.Execute();
      agent.Finish(task_outcome::kSucceeded);
      agent.Finish(task_outcome::kSucceeded);
    }
    agent.Report(cluster_.entry, true);
  }

  /// \returns the starts sent to \p agent since the last call.
  std::size_t TakeSent(const fake_agent* agent) {
    std::size_t sum = 0;
    for (const auto& [to, starts] : std::exchange(cluster_.sent, {})) {
      sum += to == agent ? starts : 0;
    }
    return sum;
  }

  fake_cluster cluster_;
  fake_agent* remaining_ = nullptr;
  fake_agent* leaving_ = nullptr;
};

// Guards against starts for a minion that has left, and against tasks that
// wait for it although another minion is there.
TEST_P(leaving_test, GetsNoStartsAndItsWorkGoesElsewhere) {
  const job_id job = cluster_.Submit(fake_cluster::Job(24, seconds(60)));
  cluster_.entry.Flush();
  EXPECT_GT(TakeSent(leaving_), 0U);
  GetParam().leave(cluster_, *leaving_);
  cluster_.sent.clear();
  for (int i = 0; i < 200 && cluster_.CodeOf(job).empty(); ++i) {
    RunDeliveredTasks(*remaining_);
    cluster_.Advance(milliseconds(20));
    EXPECT_EQ(TakeSent(leaving_), 0U);
  }
  EXPECT_EQ(cluster_.CodeOf(job), "complete");
}

void FinishAndReport(fake_cluster& cluster, fake_agent& agent) {
  agent.DeliverBatch();
  for (int i = 0; i < 4; ++i) {
    agent.Execute();
    agent.Finish(task_outcome::kSucceeded);
  }
  agent.Report(cluster.entry, true);
}

INSTANTIATE_TEST_SUITE_P(
    Ways,
    leaving_test,
    testing::Values(
        leaving_case{"data_centre_out",
                     [](fake_cluster& cluster, fake_agent& agent) {
                       cluster_config config = *cluster.entry.config();
                       config.data_centres["dc2"].out = true;
                       cluster.ChangeConfig(config);
                       // Reports the queued starts as not run.
                       agent.DeliverBatch();
                       agent.Report(cluster.entry, true);
                     }},
        leaving_case{
            "data_centre_out_ahead_of_a_configuration",
            [](fake_cluster& cluster, fake_agent& agent) {
              cluster.entry.OfferOutList({{cluster.revision + 1}, {"dc2"}});
              FinishAndReport(cluster, agent);
            }},
        leaving_case{"draining",
                     [](fake_cluster& cluster, fake_agent& agent) {
                       agent.status().draining = true;
                       FinishAndReport(cluster, agent);
                     }},
        leaving_case{"minion_gone",
                     [](fake_cluster& cluster, fake_agent& agent) {
                       agent.status().service.clear();
                       agent.status().slots = 0;
                       FinishAndReport(cluster, agent);
                     }},
        leaving_case{"disconnected",
                     [](fake_cluster& cluster, fake_agent& agent) {
                       FinishAndReport(cluster, agent);
                       agent.Cut(cluster.entry, true);
                     }}),
    [](const auto& test) { return test.param.name; });

// Guards against an agent that goes silent while its connection stays open and
// still gets starts, and against jobs that wait for it until their deadline.
TEST_F(leaving_test, SilentAgentIsNoticedAfterThreeIntervals) {
  const job_id job = cluster_.Submit(fake_cluster::Job(4, seconds(60)));
  cluster_.entry.Flush();
  leaving_->DeliverBatch();
  leaving_->Execute();
  cluster_.Advance(kMaxMissedHeartbeats * HeartbeatInterval(2) - seconds(1));
  EXPECT_EQ(cluster_.CodeOf(job), "");
  cluster_.Advance(seconds(2));
  EXPECT_EQ(cluster_.CodeOf(job), "task_lost");
  EXPECT_EQ(cluster_.decisions[job].front().outcome.error().effect,
            job_effect::kMayHaveRun);
  EXPECT_EQ(cluster_.entry.Status().outstanding, 0U);
}

// Guards against a data centre that is overloaded when it returns to service,
// and against one that never gets its full share again.
TEST_F(leaving_test, ReturningDataCentreRampsUp) {
  leaving_->status().slots = 8;
  leaving_->Report(cluster_.entry, true);
  remaining_->status().slots = 0;
  remaining_->Report(cluster_.entry, true);
  cluster_config config = *cluster_.entry.config();
  config.data_centres["dc2"].out = true;
  cluster_.ChangeConfig(config);
  config.data_centres["dc2"].out = false;
  cluster_.ChangeConfig(config);
  cluster_.Submit(fake_cluster::Job(40, seconds(60)));
  cluster_.entry.Flush();
  EXPECT_EQ(TakeSent(leaving_), 1U);
  for (int i = 0; i < 5; ++i) {
    cluster_.Advance(seconds(1));
    leaving_->Report(cluster_.entry, true);
    remaining_->Report(cluster_.entry, true);
  }
  cluster_.Advance(milliseconds(100));
  EXPECT_EQ(TakeSent(leaving_), 7U + kLookahead);
}

// Guards against a minion that fails every task and still gets all the work.
TEST_F(leaving_test, FailingMinionIsTakenOut) {
  for (int i = 0; i < 5; ++i) {
    remaining_->status().slots = 0;
    remaining_->Report(cluster_.entry, true);
    cluster_.Submit(fake_cluster::Job(1, seconds(60)));
    cluster_.entry.Flush();
    leaving_->DeliverBatch();
    leaving_->Execute();
    leaving_->Finish(task_outcome::kFailed);
    leaving_->Report(cluster_.entry, true);
  }
  cluster_.sent.clear();
  cluster_.Submit(fake_cluster::Job(4, seconds(60)));
  cluster_.entry.Flush();
  EXPECT_EQ(TakeSent(leaving_), 0U);
  cluster_.Advance(milliseconds(1050));
  EXPECT_EQ(TakeSent(leaving_), 1U);
}

// Guards against an entry that sends starts after a pause under a configuration
// that may have changed in the meantime.
TEST_F(leaving_test, PausedEntryWaitsForAConfirmation) {
  cluster_.time.Advance(seconds(2));
  cluster_.entry.ConfirmConfig();
  cluster_.time.Advance(seconds(2));
  cluster_.Submit(fake_cluster::Job(2, seconds(60)));
  cluster_.entry.Flush();
  EXPECT_TRUE(cluster_.sent.empty());
  cluster_.AcknowledgePushes();
  cluster_.entry.ConfirmConfig();
  cluster_.entry.Flush();
  EXPECT_FALSE(cluster_.sent.empty());
}

// Guards against a team that exceeds its quota, and against a team at its quota
// that blocks others.
TEST_F(leaving_test, QuotasHoldAndDoNotBlockOthers) {
  cluster_config config = *cluster_.entry.config();
  config.teams["red"].max_running = 2;
  cluster_.ChangeConfig(config);
  cluster_.entry.SetTeamShares({{"red", 0.5}});
  cluster_.Submit(fake_cluster::Job(10, seconds(60)));
  job_spec blue = fake_cluster::Job(2, seconds(60));
  blue.team = "blue";
  cluster_.Submit(blue);
  cluster_.entry.Flush();
  EXPECT_EQ(cluster_.entry.Status().outstanding, 3U);
}

}  // namespace
}  // namespace jayrill
