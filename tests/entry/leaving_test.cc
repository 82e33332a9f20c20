#include <gtest/gtest.h>

#include <ostream>

#include "fake_cluster.h"
#include "jayrill/entry/heartbeat.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two agents, one of them leaves in a way that the parameter describes.
struct leaving_case {
  const char* name;
  std::function<void(fake_cluster&, fake_agent&)> leave;
};

/// Keeps addresses out of the names of the tests.
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
    stays_ = &cluster_.AddAgent("dc1");
    leaves_ = &cluster_.AddAgent("dc2");
    stays_->Connect(cluster_.entry);
    leaves_->Connect(cluster_.entry);
    cluster_.Advance(seconds(1));
    cluster_.AcknowledgePushes();
  }

  /// Lets \p agent run everything that it has got, and report.
  void Work(fake_agent& agent) {
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
  fake_agent* stays_ = nullptr;
  fake_agent* leaves_ = nullptr;
};

// Guards against starts for a minion that has left, and against tasks that
// wait for it although another minion is there.
TEST_P(leaving_test, GetsNoStartsAndItsWorkGoesElsewhere) {
  const job_id job = cluster_.Submit(fake_cluster::Job(24, seconds(60)));
  cluster_.entry.Flush();
  EXPECT_GT(TakeSent(leaves_), 0U);
  GetParam().leave(cluster_, *leaves_);
  cluster_.sent.clear();
  for (int i = 0; i < 200 && cluster_.CodeOf(job).empty(); ++i) {
    Work(*stays_);
    cluster_.Advance(milliseconds(20));
    EXPECT_EQ(TakeSent(leaves_), 0U);
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
    testing::Values(leaving_case{"data_centre_out",
                                 [](fake_cluster& cluster, fake_agent& agent) {
                                   cluster_config config =
                                       *cluster.entry.config();
                                   config.data_centres["dc2"].out = true;
                                   cluster.ChangeConfig(config);
                                   // Its queued starts come back as not run.
                                   agent.DeliverBatch();
                                   agent.Report(cluster.entry, true);
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

// Guards against an agent that is silent without a cut and draws starts, and
// against jobs that wait for it until their deadline.
TEST_F(leaving_test, SilentAgentIsNoticedAfterThreeIntervals) {
  const job_id job = cluster_.Submit(fake_cluster::Job(4, seconds(60)));
  cluster_.entry.Flush();
  leaves_->DeliverBatch();
  leaves_->Execute();
  cluster_.Advance(kSilentIntervals * HeartbeatInterval(2) - seconds(1));
  EXPECT_EQ(cluster_.CodeOf(job), "");
  cluster_.Advance(seconds(2));
  EXPECT_EQ(cluster_.CodeOf(job), "task_lost");
  EXPECT_EQ(cluster_.decisions[job].front().outcome.error().effect,
            job_effect::kMayHaveRun);
  EXPECT_EQ(cluster_.entry.Status().outstanding, 0U);
}

// Guards against a data centre that returns and is flooded at once, and
// against one that never gets its full share again.
TEST_F(leaving_test, ReturningDataCentreRampsUp) {
  leaves_->status().slots = 8;
  leaves_->Report(cluster_.entry, true);
  stays_->status().slots = 0;
  stays_->Report(cluster_.entry, true);
  cluster_config config = *cluster_.entry.config();
  config.data_centres["dc2"].out = true;
  cluster_.ChangeConfig(config);
  config.data_centres["dc2"].out = false;
  cluster_.ChangeConfig(config);
  cluster_.Submit(fake_cluster::Job(40, seconds(60)));
  cluster_.entry.Flush();
  EXPECT_EQ(TakeSent(leaves_), 1U);
  for (int i = 0; i < 5; ++i) {
    cluster_.Advance(seconds(1));
    leaves_->Report(cluster_.entry, true);
    stays_->Report(cluster_.entry, true);
  }
  cluster_.Advance(milliseconds(100));
  EXPECT_EQ(TakeSent(leaves_), 7U + kLookahead);
}

// Guards against a minion that fails everything and draws all work.
TEST_F(leaving_test, FailingMinionIsTakenOut) {
  for (int i = 0; i < 5; ++i) {
    stays_->status().slots = 0;
    stays_->Report(cluster_.entry, true);
    cluster_.Submit(fake_cluster::Job(1, seconds(60)));
    cluster_.entry.Flush();
    leaves_->DeliverBatch();
    leaves_->Execute();
    leaves_->Finish(task_outcome::kFailed);
    leaves_->Report(cluster_.entry, true);
  }
  cluster_.sent.clear();
  cluster_.Submit(fake_cluster::Job(4, seconds(60)));
  cluster_.entry.Flush();
  EXPECT_EQ(TakeSent(leaves_), 0U);
  cluster_.Advance(milliseconds(1050));
  EXPECT_EQ(TakeSent(leaves_), 1U);
}

// Guards against a stopped entry that sends under a configuration which may
// have changed meanwhile.
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

// Guards against quotas of teams and limits of profiles that do not hold, and
// against a team at its quota that stops others.
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
