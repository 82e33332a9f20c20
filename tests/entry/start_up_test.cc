#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fake_cluster.h"
#include "jayrill/entry/start_up/start_up_wait.h"

namespace jayrill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// An entry that has just started, with two profiles: jobs of `urgent` have an
/// objective of 200 ms for tasks of 100 ms, those of `patient` one of 2 s.
struct starting_cluster : fake_cluster {
  starting_cluster() {
    cluster_config config;
    config.data_centres["dc1"];
    config.profiles["urgent"].slack_factor = 1.5;
    config.profiles["urgent"].target_latency = milliseconds(50);
    config.profiles["patient"].slack_factor = 1.5;
    config.profiles["patient"].target_latency = milliseconds(1850);
    ChangeConfig(config);
  }

  job_id SubmitTo(const std::string& profile, std::size_t tasks) {
    job_spec spec = Job(tasks, seconds(5));
    spec.profile = profile;
    return Submit(spec);
  }

  void ConnectAgent() {
    AddAgent("dc1").Connect(entry);
    AcknowledgePushes();
    entry.Flush();
  }
};

// Guards against jobs that wait for the last agent until it is too late for
// them. Load: all processes return from a loss of power at once, an agent
// connects every 150 ms, and callers send jobs meanwhile.
TEST(start_up_test, JobsWithoutTimeToSpareStartOnTheFirstAgents) {
  starting_cluster cluster;
  cluster.SubmitTo("urgent", 1);
  const job_id patient = cluster.SubmitTo("patient", 1);
  cluster.Advance(milliseconds(50));
  cluster.ConnectAgent();
  EXPECT_EQ(cluster.sent.size(), 1U);
  EXPECT_FALSE(cluster.sent_jobs.contains(patient));
  EXPECT_FALSE(cluster.entry.IsReady());
  for (int agent = 0; agent < 4; ++agent) {
    cluster.Advance(milliseconds(150));
    cluster.ConnectAgent();
  }
  EXPECT_FALSE(cluster.sent_jobs.contains(patient));
  cluster.Advance(kAgentQuietTime + kDispatchTickInterval);
  EXPECT_TRUE(cluster.sent_jobs.contains(patient));
}

// Guards against jobs that are admitted without limit while agents connect, and
// then make each other late. The refusal must be true: none of them runs.
TEST(start_up_test, WorkBeyondTheObjectiveIsRefusedAtOnce) {
  starting_cluster cluster;
  cluster.ConnectAgent();
  constexpr int kJobs = 40;
  std::vector<job_id> jobs;
  jobs.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i) {
    jobs.push_back(cluster.SubmitTo("urgent", 4));
  }
  const auto refused = std::count_if(jobs.begin(), jobs.end(), [&](job_id job) {
    return cluster.CodeOf(job) == kStartingCode;
  });
  EXPECT_GT(refused, 20);
  EXPECT_LT(refused, 40);
  cluster.Advance(seconds(1));
  for (const job_id job : jobs) {
    if (cluster.CodeOf(job) == kStartingCode) {
      const job_failure& failure =
          cluster.decisions[job].front().outcome.error();
      EXPECT_EQ(failure.effect, job_effect::kNotRun);
      EXPECT_GE(failure.retry_after, seconds(1));
      EXPECT_FALSE(cluster.sent_jobs.contains(job));
    }
  }
}

// Guards against an entry that takes the wait for its first agents for a long
// queue, and refuses jobs although its minions are free.
TEST(start_up_test, TheWaitForAgentsIsNoOverload) {
  starting_cluster cluster;
  cluster.SubmitTo("urgent", 1);
  cluster.Advance(milliseconds(190));
  for (int agent = 0; agent < 3; ++agent) {
    cluster.ConnectAgent();
  }
  cluster.Advance(milliseconds(220));
  ASSERT_TRUE(cluster.entry.IsReady());
  for (int i = 0; i < 10; ++i) {
    EXPECT_NE(cluster.CodeOf(cluster.SubmitTo("urgent", 1)), "overloaded");
  }
}

struct start_up_case {
  std::string name;
  start_up_load load;
  bool admitted;
  milliseconds retry_after;
};

class start_up_check_test : public testing::TestWithParam<start_up_case> {};

// Guards against refusals that rest on nothing, and against a Retry-After at
// which the work that was admitted still fills the minions.
TEST_P(start_up_check_test, AdmitsWhatMeetsItsObjective) {
  const start_up_wait wait{steady_time{}};
  const auto refused = wait.Check(GetParam().load);
  EXPECT_EQ(!refused, GetParam().admitted);
  if (refused) {
    EXPECT_EQ(refused->retry_after, GetParam().retry_after);
  }
}

constexpr microseconds kTask{100'000};
constexpr microseconds kObjective{200'000};

INSTANTIATE_TEST_SUITE_P(
    loads,
    start_up_check_test,
    testing::Values(
        start_up_case{"no_agent", {20 * kTask, 0, kTask, kObjective}, true, {}},
        start_up_case{"no_objective", {20 * kTask, 1, kTask, {}}, true, {}},
        start_up_case{"fits", {16 * kTask, 8, kTask, kObjective}, true, {}},
        start_up_case{"queue_is_long",
                      {17 * kTask, 8, kTask, kObjective},
                      false,
                      milliseconds(1000)},
        start_up_case{"queue_takes_seconds",
                      {200 * kTask, 8, kTask, kObjective},
                      false,
                      milliseconds(2500)},
        start_up_case{"minions_are_slow",
                      {kTask, 8, 3 * kTask, kObjective},
                      false,
                      milliseconds(1000)}),
    [](const auto& item) { return item.param.name; });

}  // namespace
}  // namespace jayrill
