#include <gtest/gtest.h>

#include "fake_cluster.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A cluster with two connected agents that is ready for jobs.
struct busy_cluster : fake_cluster {
  busy_cluster() {
    cluster_config config;
    config.data_centres["dc1"];
    ChangeConfig(config);
    AddAgent("dc1").Connect(entry);
    AddAgent("dc1").Connect(entry);
    Advance(seconds(1));
  }

  /// Lets every agent handle its starts and report; one that gives starts back
  /// reports all its slots as busy.
  void Exchange() {
    for (fake_agent& agent : agents) {
      agent.DeliverBatch();
      agent.Execute();
      agent.Finish(task_outcome::kSucceeded);
      agent.Report(entry, true);
    }
    Advance(milliseconds(5));
  }
};

// Guards against a job that fails, or waits, because the entry believed that a
// busy minion was free.
TEST(busy_return_test, ReturnedStartRunsOnAnotherMinion) {
  busy_cluster cluster;
  cluster.agents.front().SetExpectedWait(seconds(1));
  const job_id job = cluster.Submit(fake_cluster::Job(4, seconds(5)));
  cluster.entry.Flush();
  for (int round = 0; round < 20 && cluster.CodeOf(job).empty(); ++round) {
    cluster.Exchange();
  }
  EXPECT_EQ(cluster.CodeOf(job), "complete");
  EXPECT_EQ(cluster.Executions(job), 4);
}

// Guards against starts that go back and forth without end while every minion
// is busy, and against a job that uses up its retries in that way.
TEST(busy_return_test, TaskMayWaitLongerAfterAFewReturns) {
  busy_cluster cluster;
  for (fake_agent& agent : cluster.agents) {
    agent.SetExpectedWait(milliseconds(50));
  }
  const job_id job = cluster.Submit(fake_cluster::Job(1, seconds(5)));
  cluster.entry.Flush();
  int rounds = 0;
  for (; rounds < 20 && cluster.CodeOf(job).empty(); ++rounds) {
    cluster.Exchange();
  }
  EXPECT_EQ(cluster.CodeOf(job), "complete");
  EXPECT_EQ(cluster.Executions(job), 1);
  EXPECT_LT(cluster.entry.counters().starts, 8U);
}

// Guards against a refusal while minions are free: what the entry knows of them
// is old, and no report has said yet that others have finished their tasks.
TEST(busy_return_test, AnOldReportDoesNotKeepWorkFromAMinion) {
  busy_cluster cluster;
  for (fake_agent& agent : cluster.agents) {
    agent.status().busy = 2;
    cluster.entry.OnReport(agent.handle(), agent.connection(), {},
                           agent.status());
  }
  cluster.Advance(milliseconds(900));
  const job_id job = cluster.Submit(fake_cluster::Job(1, seconds(5)));
  cluster.entry.Flush();
  for (int round = 0; round < 3; ++round) {
    cluster.Exchange();
  }
  EXPECT_EQ(cluster.CodeOf(job), "complete");
}

// Guards against an answer that says a job may have run when every start of it
// was given back.
TEST(busy_return_test, JobOfReturnedStartsIsReportedAsNotRun) {
  busy_cluster cluster;
  for (fake_agent& agent : cluster.agents) {
    agent.SetExpectedWait(seconds(1));
  }
  const job_id job = cluster.Submit(fake_cluster::Job(2, milliseconds(300)));
  cluster.entry.Flush();
  for (fake_agent& agent : cluster.agents) {
    agent.DeliverBatch();
    agent.status().draining = true;  // The entry keeps the returned tasks.
    agent.Report(cluster.entry, true);
  }
  cluster.Advance(seconds(1));
  ASSERT_EQ(cluster.CodeOf(job), "deadline_exceeded");
  EXPECT_EQ(cluster.decisions[job].front().outcome.error().effect,
            job_effect::kNotRun);
}

}  // namespace
}  // namespace jayrill
