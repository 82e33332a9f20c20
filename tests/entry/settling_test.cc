#include <gtest/gtest.h>

#include <string>

#include "fake_cluster.h"
#include "jayrill/entry/expiry/settling.h"

namespace jayrill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// One agent with two slots, and a job of two tasks of 100 ms with an objective
/// of 200 ms, so that it expires 660 ms after its arrival and settles from
/// 620 ms on.
struct expiring_cluster : fake_cluster {
  expiring_cluster() {
    cluster_config config;
    config.data_centres["dc1"];
    config.profiles["urgent"].slack_factor = 1.5;
    config.profiles["urgent"].target_latency = milliseconds(50);
    ChangeConfig(config);
    AddAgent("dc1").Connect(entry);
    AcknowledgePushes();
    Advance(seconds(1));
    job_spec spec = Job(2, seconds(5));
    spec.profile = "urgent";
    spec.repeatable = true;
    job = Submit(spec);
  }

  void Report() { agents.front().Report(entry, true); }

  const decision* Decision() const {
    const auto found = decisions.find(job);
    return found == decisions.end() ? nullptr : &found->second.front();
  }

  job_id job;
};

// What happens to the starts of the job before it settles, and then while it
// does.
using step = void (*)(expiring_cluster&);

void SendStarts(expiring_cluster& cluster) {
  cluster.entry.Flush();
}
void DeliverStarts(expiring_cluster& cluster) {
  cluster.entry.Flush();
  cluster.agents.front().DeliverBatch();
}
void RunOne(expiring_cluster& cluster) {
  DeliverStarts(cluster);
  cluster.agents.front().Execute();
}
void RunBoth(expiring_cluster& cluster) {
  RunOne(cluster);
  cluster.agents.front().Execute();
}
void RunOneAndSucceed(expiring_cluster& cluster) {
  RunOne(cluster);
  cluster.agents.front().Finish(task_outcome::kSucceeded);
  cluster.Report();
}
void HideTheMinion(expiring_cluster& cluster) {
  cluster.agents.front().status().slots = 0;
  cluster.Report();
}
void Nothing(expiring_cluster& /*cluster*/) {}
void Report(expiring_cluster& cluster) {
  cluster.Report();
}
void ReportStopped(expiring_cluster& cluster) {
  cluster.agents.front().Finish(task_outcome::kInterrupted);
  cluster.Report();
}
void ReportBothSucceeded(expiring_cluster& cluster) {
  cluster.agents.front().Finish(task_outcome::kSucceeded);
  cluster.agents.front().Finish(task_outcome::kSucceeded);
  cluster.Report();
}
void CutConnection(expiring_cluster& cluster) {
  cluster.agents.front().Cut(cluster.entry, true);
}

struct settle_case {
  std::string name;
  step before;  ///< The starts before the job settles.
  step during;  ///< What the agent says while it does.
  std::string code;
  job_effect effect;
  milliseconds decided_after;  ///< The arrival of the job.
};

class settle_test : public testing::TestWithParam<settle_case> {};

// Guards against an answer that leaves open whether anything has run although
// the agents know it, and against "not run" where a start may have happened.
TEST_P(settle_test, TheEffectFollowsFromTheStarts) {
  expiring_cluster cluster;
  const steady_time arrival = cluster.time.Now();
  GetParam().before(cluster);
  cluster.Advance(milliseconds(625));
  GetParam().during(cluster);
  cluster.Advance(milliseconds(100));
  ASSERT_NE(cluster.Decision(), nullptr);
  EXPECT_EQ(cluster.CodeOf(cluster.job), GetParam().code);
  EXPECT_EQ(cluster.Decision()->decided_at - arrival, GetParam().decided_after);
  if (!cluster.Decision()->outcome) {
    EXPECT_EQ(cluster.Decision()->outcome.error().effect, GetParam().effect);
  }
}

constexpr char kExpired[] = "deadline_exceeded";
constexpr milliseconds kSettled{625};
constexpr milliseconds kDeadline{660};

INSTANTIATE_TEST_SUITE_P(
    starts,
    settle_test,
    testing::Values(settle_case{"none_sent", HideTheMinion, Nothing, kExpired,
                                job_effect::kNotRun, milliseconds(620)},
                    settle_case{"withdrawn_at_the_agent", DeliverStarts, Report,
                                kExpired, job_effect::kNotRun, kSettled},
                    settle_case{"on_their_way", SendStarts, Report, kExpired,
                                job_effect::kMayHaveRun, kDeadline},
                    settle_case{"agent_is_silent", DeliverStarts, Nothing,
                                kExpired, job_effect::kMayHaveRun, kDeadline},
                    settle_case{"connection_is_cut", DeliverStarts,
                                CutConnection, kExpired,
                                job_effect::kMayHaveRun, kDeadline},
                    settle_case{"one_runs_and_is_stopped", RunOne,
                                ReportStopped, kExpired,
                                job_effect::kRanAndFailed, kSettled},
                    settle_case{"one_runs_on", RunOne, Report, kExpired,
                                job_effect::kMayHaveRun, kDeadline},
                    settle_case{"one_had_succeeded", RunOneAndSucceed, Report,
                                kExpired, job_effect::kMayHaveRun, kDeadline},
                    settle_case{"both_succeed", RunBoth, ReportBothSucceeded,
                                "complete", job_effect::kRan, kSettled}),
    [](const auto& item) { return item.param.name; });

struct should_settle_case {
  std::string name;
  settle_state state;
  bool settles;
};

class should_settle_test : public testing::TestWithParam<should_settle_case> {};

// Guards against a job that is given up although its answer is still of use.
TEST_P(should_settle_test, LeavesJobsAloneThatMayEndInTime) {
  EXPECT_EQ(ShouldSettle(GetParam().state), GetParam().settles);
}

constexpr steady_time kArrival = steady_time{} + seconds(60);
constexpr microseconds kObjective{200'000};

INSTANTIATE_TEST_SUITE_P(
    states,
    should_settle_test,
    testing::Values(
        should_settle_case{
            "of_no_use",
            {kArrival, kArrival + milliseconds(660), kObjective, false, true},
            true},
        should_settle_case{
            "of_use_and_started",
            {kArrival, kArrival + milliseconds(630), kObjective, false, true},
            false},
        should_settle_case{
            "of_use_and_not_started",
            {kArrival, kArrival + milliseconds(630), kObjective, false, false},
            true},
        should_settle_case{
            "has_run",
            {kArrival, kArrival + milliseconds(660), kObjective, true, false},
            false},
        should_settle_case{
            "no_objective",
            {kArrival, kArrival + milliseconds(660), {}, false, false},
            false}),
    [](const auto& item) { return item.param.name; });

}  // namespace
}  // namespace jayrill
