#include <gtest/gtest.h>

#include "fake_cluster.h"

namespace jayrill {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// An agent that holds a start of a session that the entry has closed. Its job
/// was answered; the caller may submit it again.
class session_resume_test : public testing::Test {
 protected:
  session_resume_test() {
    cluster_.ChangeConfig({});
    agent_ = &cluster_.AddAgent("dc1");
    agent_->Connect(cluster_.entry);
    cluster_.Advance(seconds(1));
    cluster_.AcknowledgePushes();
    const job_id job = cluster_.Submit(fake_cluster::Job(1, seconds(20)));
    cluster_.entry.Flush();
    agent_->DeliverBatch();
    EXPECT_EQ(agent_->queued_starts(), 1U);
    agent_->Cut(cluster_.entry, true);
    cluster_.Advance(seconds(5));
    EXPECT_TRUE(cluster_.decisions.contains(job));
  }

  fake_cluster cluster_;
  fake_agent* agent_ = nullptr;
};

// Guards against a start of a closed session that runs because the answer that
// told the agent of a new session was lost, and the next one said that the
// session goes on.
TEST_F(session_resume_test, WithdrawsStartsAfterALostAnswer) {
  agent_->ConnectWithoutAnswer(cluster_.entry);
  EXPECT_EQ(agent_->queued_starts(), 1U);
  agent_->Connect(cluster_.entry);
  EXPECT_EQ(agent_->queued_starts(), 0U);
}

// Guards against the same after several lost answers.
TEST_F(session_resume_test, WithdrawsStartsAfterSeveralLostAnswers) {
  for (int i = 0; i < 3; ++i) {
    agent_->ConnectWithoutAnswer(cluster_.entry);
    cluster_.Advance(seconds(1));
  }
  agent_->Connect(cluster_.entry);
  EXPECT_EQ(agent_->queued_starts(), 0U);
}

// Guards against a session number that is used again after the entry has
// removed the agent, so that a new session looks like the closed one.
TEST_F(session_resume_test, WithdrawsStartsOfARemovedAgent) {
  cluster_.Advance(minutes(11));
  agent_->ConnectWithoutAnswer(cluster_.entry);
  agent_->Connect(cluster_.entry);
  EXPECT_EQ(agent_->queued_starts(), 0U);
}

// Guards against starts that were sent in the session that the agent does not
// know and that are lost, or counted as perhaps run, with it.
TEST_F(session_resume_test, StartsOfTheUnknownSessionRunOnce) {
  agent_->ConnectWithoutAnswer(cluster_.entry);
  const job_id job = cluster_.Submit(fake_cluster::Job(1, seconds(20)));
  cluster_.entry.Flush();
  ASSERT_TRUE(cluster_.sent_jobs.contains(job));
  agent_->Connect(cluster_.entry);
  cluster_.entry.Flush();
  agent_->DeliverBatch();
  agent_->Execute();
  agent_->Finish(task_outcome::kSucceeded);
  agent_->Report(cluster_.entry, true);
  EXPECT_EQ(cluster_.CodeOf(job), "complete");
  EXPECT_EQ(cluster_.Executions(job), 1);
}

// Guards against a session that ends with a cut of its connection, although the
// agent knows it.
TEST_F(session_resume_test, KnownSessionGoesOn) {
  agent_->Connect(cluster_.entry);
  cluster_.Submit(fake_cluster::Job(1, seconds(20)));
  cluster_.entry.Flush();
  agent_->DeliverBatch();
  ASSERT_EQ(agent_->queued_starts(), 1U);
  agent_->ConnectWithoutAnswer(cluster_.entry);
  agent_->Connect(cluster_.entry);
  EXPECT_EQ(agent_->queued_starts(), 1U);
}

}  // namespace
}  // namespace jayrill
