#include <gtest/gtest.h>

#include <ostream>

#include "fake_cluster.h"
#include "jayrill/entry/admission.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

cluster_config TwoDataCentres() {
  cluster_config config;
  config.data_centres["dc1"];
  config.data_centres["dc2"];
  return config;
}

cluster_config WithProfile(const profile& chosen) {
  cluster_config config = TwoDataCentres();
  config.profiles["p"] = chosen;
  config.services["quotes"].profile = "p";
  return config;
}

profile ProfileWithPlacement(const profile_placement& placement) {
  profile chosen;
  chosen.placement = placement;
  return chosen;
}

profile ProfileWithLimits(const profile_limits& limits) {
  profile chosen;
  chosen.limits = limits;
  return chosen;
}

struct refusal_case {
  const char* code;
  std::function<void(fake_cluster&)> prepare;
  job_spec job = fake_cluster::Job(4, seconds(5));
  milliseconds decided_after{0};
};

/// Prints the code, so that test names contain no addresses.
void PrintTo(const refusal_case& param, std::ostream* out) {
  *out << param.code;
}

/// Gives \p cluster a configuration and one agent, and ends the wait for
/// agents.
void MakeReady(fake_cluster& cluster,
               const cluster_config& config = TwoDataCentres()) {
  cluster.ChangeConfig(config);
  cluster.AddAgent("dc1").Connect(cluster.entry);
  cluster.Advance(seconds(1));
}

class refusal_test : public testing::TestWithParam<refusal_case> {};

// Guards against a job that can never run but is not refused, or is refused
// late or with the wrong code.
TEST_P(refusal_test, RefusesAsNotRun) {
  const refusal_case& param = GetParam();
  fake_cluster cluster;
  param.prepare(cluster);
  const job_id job = cluster.Submit(param.job);
  if (param.decided_after.count() > 0) {
    cluster.Advance(param.decided_after - kDispatchTickInterval);
    EXPECT_EQ(cluster.CodeOf(job), "");
    cluster.Advance(2 * kDispatchTickInterval);
  }
  ASSERT_EQ(cluster.CodeOf(job), param.code);
  const job_failure& failure = cluster.decisions[job].front().outcome.error();
  EXPECT_EQ(failure.effect, job_effect::kNotRun);
  EXPECT_FALSE(failure.message.empty());
  EXPECT_FALSE(failure.remedy.empty());
  EXPECT_EQ(cluster.entry.counters().failures[param.code], 1U);
  cluster.Advance(seconds(6));
  EXPECT_TRUE(cluster.sent.empty());
}

job_spec JobWithLongTask() {
  job_spec job = fake_cluster::Job(4, seconds(1));
  job.tasks[2].declared = seconds(30);
  return job;
}

INSTANTIATE_TEST_SUITE_P(
    Codes,
    refusal_test,
    testing::Values(
        refusal_case{"draining",
                     [](fake_cluster& cluster) {
                       MakeReady(cluster);
                       cluster.entry.Drain([] {});
                     }},
        refusal_case{"no_configuration",
                     [](fake_cluster& cluster) {
                       cluster.AddAgent("dc1").Connect(cluster.entry);
                     }},
        refusal_case{"isolated",
                     [](fake_cluster& cluster) {
                       MakeReady(cluster);
                       cluster.Advance(milliseconds(2050));
                     }},
        refusal_case{"invalid_job",
                     [](fake_cluster& cluster) { MakeReady(cluster); },
                     fake_cluster::Job(0, seconds(5))},
        refusal_case{"queue_full",
                     [](fake_cluster& cluster) { MakeReady(cluster); },
                     [] {
                       job_spec job = fake_cluster::Job(1, seconds(5));
                       job.tasks[0].payload.resize(kMaxPayloadBytes + 1);
                       return job;
                     }()},
        refusal_case{"too_many_tasks",
                     [](fake_cluster& cluster) {
                       MakeReady(
                           cluster,
                           WithProfile(ProfileWithLimits({.max_tasks = 3})));
                     }},
        refusal_case{"deadline_too_long",
                     [](fake_cluster& cluster) {
                       MakeReady(cluster, WithProfile(ProfileWithLimits(
                                              {.max_deadline = seconds(4)})));
                     }},
        refusal_case{"deadline_unreachable",
                     [](fake_cluster& cluster) { MakeReady(cluster); },
                     JobWithLongTask()},
        refusal_case{"no_minion",
                     [](fake_cluster& cluster) {
                       cluster.ChangeConfig(TwoDataCentres());
                       cluster.Advance(seconds(1));
                       cluster.entry.ConfirmConfig();
                     },
                     fake_cluster::Job(4, seconds(5)), kNoMinionGracePeriod},
        refusal_case{"placement_impossible",
                     [](fake_cluster& cluster) {
                       MakeReady(cluster,
                                 WithProfile(ProfileWithPlacement(
                                     {.data_centres = {}, .min_cores = 8})));
                     }},
        refusal_case{"placement_impossible",
                     [](fake_cluster& cluster) {
                       MakeReady(cluster, WithProfile(ProfileWithPlacement(
                                              {.data_centres = {},
                                               .min_cores = 0,
                                               .min_memory_mb = 1})));
                     }},
        refusal_case{"placement_impossible",
                     [](fake_cluster& cluster) {
                       MakeReady(cluster, WithProfile(ProfileWithPlacement(
                                              {.data_centres = {},
                                               .min_cores = 0,
                                               .min_memory_mb = 0,
                                               .min_accelerators = 1})));
                     }},
        refusal_case{"placement_impossible",
                     [](fake_cluster& cluster) {
                       MakeReady(cluster, WithProfile(ProfileWithPlacement(
                                              {.data_centres = {"dc2"}})));
                     }},
        refusal_case{"data_centre_out",
                     [](fake_cluster& cluster) {
                       cluster_config config = TwoDataCentres();
                       config.data_centres["dc1"].out = true;
                       MakeReady(cluster, config);
                     }}),
    [](const auto& test) {
      return std::string(test.param.code) + "_" + std::to_string(test.index);
    });

// Guards against an entry that stays isolated or loses jobs after the store has
// confirmed its configuration.
TEST(isolation_test, EndsWhenTheStoreConfirms) {
  fake_cluster cluster;
  MakeReady(cluster);
  cluster.agents[0].Report(cluster.entry, true);
  cluster.Advance(seconds(2) + kDispatchTickInterval);
  EXPECT_TRUE(cluster.entry.Status().isolated);
  cluster.entry.ConfirmConfig();
  cluster.Submit(fake_cluster::Job(1, seconds(5)));
  cluster.entry.Flush();
  EXPECT_FALSE(cluster.sent.empty());
}

// Guards against a job that fails with a wrong effect when its caller cancels
// it.
TEST(effect_test, TellsWhetherATaskMayHaveRun) {
  fake_cluster cluster;
  MakeReady(cluster);
  const auto effect = [&cluster](job_id job) {
    return cluster.decisions[job].front().outcome.error().effect;
  };
  const job_id sent = cluster.Submit(fake_cluster::Job(2, seconds(5)));
  cluster.entry.Flush();
  const job_id waiting = cluster.Submit(fake_cluster::Job(8, seconds(5)));
  cluster.entry.Cancel(sent);
  cluster.entry.Cancel(waiting);
  EXPECT_EQ(effect(sent), job_effect::kMayHaveRun);
  EXPECT_EQ(effect(waiting), job_effect::kNotRun);
  EXPECT_EQ(cluster.cancelled, 2U);
}

// Guards against a restarted entry that lets its callers wait for a second
// although its agents have connected again.
TEST(settle_test, StartsOnceNoFurtherAgentJoins) {
  fake_cluster cluster;
  cluster.ChangeConfig({});
  const job_id job = cluster.Submit(fake_cluster::Job(2, seconds(60)));
  cluster.Advance(milliseconds(100));
  cluster.AddAgent("dc1").Connect(cluster.entry);
  cluster.Advance(milliseconds(150));
  fake_agent& last = cluster.AddAgent("dc1");
  last.Connect(cluster.entry);
  cluster.AcknowledgePushes();
  cluster.Advance(kAgentQuietTime - milliseconds(50));
  EXPECT_TRUE(cluster.sent.empty());
  cluster.Advance(milliseconds(50) + kDispatchTickInterval);
  EXPECT_FALSE(cluster.sent.empty());
  EXPECT_EQ(cluster.CodeOf(job), "");
}

}  // namespace
}  // namespace jayrill
