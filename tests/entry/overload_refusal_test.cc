#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "fake_cluster.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A cluster with connected agents and a profile with a latency objective.
struct urgent_cluster : fake_cluster {
  explicit urgent_cluster(int agent_count) {
    cluster_config config;
    config.data_centres["dc1"];
    profile& urgent = config.profiles["urgent"];
    urgent.slack_factor = 1.5;
    urgent.target_latency = milliseconds(50);
    config.services["quotes"].profile = "urgent";
    ChangeConfig(config);
    for (int i = 0; i < agent_count; ++i) {
      AddAgent("dc1").Connect(entry);
    }
    Advance(seconds(1));
  }

  job_id SubmitUrgent(std::size_t tasks) {
    job_spec spec = Job(tasks, seconds(2));
    spec.profile = "urgent";
    return Submit(spec);
  }

  /// Lets each agent handle one batch, run a task and report.
  void Exchange() {
    entry.Flush();
    for (fake_agent& agent : agents) {
      agent.DeliverBatch();
      agent.Execute();
      agent.Finish(task_outcome::kSucceeded);
      agent.Report(entry, true);
    }
    Advance(milliseconds(10));
  }

  /// Makes every agent expect that a start waits for \p wait.
  void SetExpectedWait(milliseconds wait) {
    for (fake_agent& agent : agents) {
      agent.SetExpectedWait(wait);
    }
  }
};

// Guards against the pattern of a flash crowd: callers that are refused
// together and told to return at the same moment meet the same overload again.
TEST(overload_refusal_test, RefusedCallersAreToldToReturnAtDifferentTimes) {
  urgent_cluster cluster(1);
  std::vector<job_id> jobs;
  for (int i = 0; i < 60; ++i) {
    jobs.push_back(cluster.SubmitUrgent(2));
    cluster.Advance(milliseconds(10));
    fake_agent& agent = cluster.agents.front();
    agent.DeliverBatch();
    if (i % 10 == 9) {
      agent.Execute();
      agent.Execute();
      agent.Finish(task_outcome::kSucceeded);
      agent.Finish(task_outcome::kSucceeded);
      agent.Report(cluster.entry, true);
    }
  }
  std::map<milliseconds, int> refusals;
  for (const job_id job : jobs) {
    if (cluster.CodeOf(job) == "overloaded") {
      const job_outcome& outcome = cluster.decisions[job].front().outcome;
      EXPECT_EQ(outcome.error().effect, job_effect::kNotRun);
      EXPECT_EQ(cluster.Executions(job), 0);
      ++refusals[outcome.error().retry_after];
    }
  }
  EXPECT_EQ(refusals.size(), 3U);
  EXPECT_GE(refusals.begin()->first, seconds(1));
  EXPECT_LE(refusals.rbegin()->first, seconds(3));
}

// Guards against jobs that are admitted although busy minions give every start
// back, because the reports that show them as free are old. And against
// refusals that go on when the minions are free again.
TEST(overload_refusal_test, ReturnedStartsCountAsWaiting) {
  urgent_cluster cluster(20);
  cluster.SetExpectedWait(seconds(1));
  std::vector<job_id> jobs;
  for (int i = 0; i < 60; ++i) {
    jobs.push_back(cluster.SubmitUrgent(1));
    cluster.Exchange();
  }
  const auto refused = std::count_if(jobs.begin(), jobs.end(), [&](job_id job) {
    return cluster.CodeOf(job) == "overloaded";
  });
  EXPECT_GT(refused, 20);
  cluster.SetExpectedWait(milliseconds(0));
  for (int i = 0; i < 100; ++i) {
    cluster.Exchange();
  }
  const job_id job = cluster.SubmitUrgent(1);
  cluster.Exchange();
  cluster.Exchange();
  EXPECT_EQ(cluster.CodeOf(job), "complete");
}

}  // namespace
}  // namespace jayrill
