#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "fake_cluster.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against the pattern of a flash crowd: callers that are refused
// together and told to return at the same moment meet the same overload again.
TEST(overload_refusal_test, RefusedCallersAreToldToReturnAtDifferentTimes) {
  fake_cluster cluster;
  cluster_config config;
  config.data_centres["dc1"];
  profile& urgent = config.profiles["urgent"];
  urgent.slack_factor = 1.5;
  urgent.target_latency = milliseconds(50);
  config.services["quotes"].profile = "urgent";
  cluster.ChangeConfig(config);
  cluster.AddAgent("dc1").Connect(cluster.entry);
  cluster.Advance(seconds(1));
  std::vector<job_id> jobs;
  for (int i = 0; i < 60; ++i) {
    job_spec spec = fake_cluster::Job(2, seconds(2));
    spec.profile = "urgent";
    jobs.push_back(cluster.Submit(spec));
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

}  // namespace
}  // namespace jayrill
