#include <gtest/gtest.h>

#include "fake_cluster.h"

namespace jayrill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A dispatcher with one agent whose clock is not that of the entry.
class start_age_test : public testing::Test {
 protected:
  start_age_test() {
    cluster_.ChangeConfig({});
    agent_ = &cluster_.AddAgent("dc1");
  }

  void Connect(microseconds sent) {
    agent_->hello().sent = sent;
    agent_->Connect(cluster_.entry);
    cluster_.Advance(seconds(1));
    cluster_.AcknowledgePushes();
  }

  void Report(microseconds sent) {
    cluster_.entry.OnReport(agent_->handle(), agent_->connection(), {},
                            agent_->status(), sent);
  }

  /// \returns the agent's time in a batch that is sent now.
  microseconds SendStart() {
    cluster_.Submit(fake_cluster::Job(1, seconds(20)));
    cluster_.entry.Flush();
    EXPECT_FALSE(cluster_.sent_agent_times.empty());
    return cluster_.sent_agent_times.empty() ? microseconds(0)
                                             : cluster_.sent_agent_times.back();
  }

  fake_cluster cluster_;
  fake_agent* agent_ = nullptr;
};

// Guards against a batch whose age the agent can't tell, or takes for more than
// it is, since the agent last sent something long ago.
TEST_F(start_age_test, BatchCarriesTheAgentsTime) {
  Connect(seconds(50));
  EXPECT_EQ(SendStart(), seconds(51));
  cluster_.Advance(milliseconds(400));
  EXPECT_EQ(SendStart(), milliseconds(51'400));
}

// Guards against starts that are all refused because one message of the agent
// was read late, as after a pause of the entry.
TEST_F(start_age_test, NewestReportReplacesTheTime) {
  Connect(seconds(50));
  cluster_.Advance(seconds(1));
  Report(seconds(50));  // Was on its way for 2 s.
  EXPECT_EQ(SendStart(), seconds(50));
  Report(seconds(52));
  EXPECT_EQ(SendStart(), seconds(52));
}

// Guards against a job that is refused because its agent took the first starts
// after a pause of the entry for late ones. The report with the refusals brings
// the newer time, so the next starts are not refused.
TEST_F(start_age_test, LateStartsNeedNoRetryBudget) {
  constexpr std::uint32_t kMoreThanTheBudget = 300;
  agent_->status().slots = kMoreThanTheBudget;
  Connect(seconds(50));
  agent_->SetRefusesLateStarts(true);
  job_spec spec = fake_cluster::Job(kMoreThanTheBudget, seconds(20));
  spec.repeatable = true;
  const job_id job = cluster_.Submit(spec);
  cluster_.entry.Flush();
  agent_->DeliverBatch();
  agent_->Report(cluster_.entry, true);
  EXPECT_EQ(cluster_.CodeOf(job), "");
  agent_->SetRefusesLateStarts(false);
  cluster_.entry.Flush();
  agent_->DeliverBatch();
  EXPECT_EQ(agent_->queued_starts(), kMoreThanTheBudget);
}

// Guards against a time that belongs to the clock of an earlier machine, or to
// an agent of an earlier release, which does not send its time.
TEST_F(start_age_test, UnknownTimeStaysUnknown) {
  Connect(seconds(50));
  agent_->Restart();
  Connect({});
  EXPECT_EQ(SendStart(), microseconds(0));
}

}  // namespace
}  // namespace jayrill
