#include <gtest/gtest.h>

#include <ostream>

#include "fake_cluster.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A way in which the cancel of a job does not reach the agent.
struct lost_cancel_case {
  const char* name;
  bool entry_notices_cut = false;
};

void PrintTo(const lost_cancel_case& param, std::ostream* out) {
  *out << param.name;
}

class lost_cancel_test : public testing::TestWithParam<lost_cancel_case> {
 protected:
  lost_cancel_test() {
    cluster_.ChangeConfig({});
    agent_ = &cluster_.AddAgent("dc1");
    agent_->Connect(cluster_.entry);
    cluster_.Advance(seconds(1));
    cluster_.AcknowledgePushes();
  }

  fake_cluster cluster_;
  fake_agent* agent_ = nullptr;
};

// Guards against a start that goes on after its job was given up, because the
// connection to its agent was cut at that time. The caller may submit the job
// again, and the task would then have two runs.
TEST_P(lost_cancel_test, IsRepeatedWhenTheAgentConnectsAgain) {
  const job_id job = cluster_.Submit(fake_cluster::Job(2, seconds(60)));
  cluster_.entry.Flush();
  agent_->DeliverBatch();
  ASSERT_EQ(agent_->queued_starts(), 2U);
  agent_->Cut(cluster_.entry, GetParam().entry_notices_cut);
  cluster_.entry.Cancel(job);
  cluster_.entry.Flush();
  ASSERT_EQ(cluster_.CodeOf(job), "cancelled");
  ASSERT_EQ(agent_->queued_starts(), 2U);
  agent_->Connect(cluster_.entry);
  cluster_.entry.Flush();
  EXPECT_EQ(agent_->queued_starts(), 0U);
}

// Guards against a cancel of starts whose job still waits for them.
TEST_P(lost_cancel_test, StartsOfOtherJobsGoOn) {
  const job_id cancelled = cluster_.Submit(fake_cluster::Job(1, seconds(60)));
  const job_id kept = cluster_.Submit(fake_cluster::Job(1, seconds(60)));
  cluster_.entry.Flush();
  agent_->DeliverBatch();
  ASSERT_EQ(agent_->queued_starts(), 2U);
  agent_->Cut(cluster_.entry, GetParam().entry_notices_cut);
  cluster_.entry.Cancel(cancelled);
  agent_->Connect(cluster_.entry);
  cluster_.entry.Flush();
  EXPECT_EQ(agent_->queued_starts(), 1U);
  agent_->Execute();
  agent_->Finish(task_outcome::kSucceeded);
  agent_->Report(cluster_.entry, true);
  EXPECT_EQ(cluster_.CodeOf(kept), "complete");
}

INSTANTIATE_TEST_SUITE_P(
    Ways,
    lost_cancel_test,
    testing::Values(lost_cancel_case{"while_disconnected", true},
                    lost_cancel_case{"lost_on_its_way", false}),
    [](const auto& param) { return std::string(param.param.name); });

}  // namespace
}  // namespace jayrill
