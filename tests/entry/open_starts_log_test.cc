#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "fake_cluster.h"
#include "recording_sink.h"

namespace jayrill {
namespace {

using std::chrono::seconds;

constexpr char kLine[] = "dispatch: failed with open starts ";

class open_starts_log_test : public testing::Test {
 protected:
  open_starts_log_test() {
    cluster_.ChangeConfig({});
    for (int i = 0; i < 2; ++i) {
      cluster_.AddAgent("dc1").Connect(cluster_.entry);
    }
    cluster_.Advance(seconds(1));
    cluster_.AcknowledgePushes();
  }

  job_id SubmitNamed(std::size_t tasks) {
    job_spec spec = fake_cluster::Job(tasks, seconds(60));
    spec.name = "5c0e7a21d94b36f8.0.0";
    const job_id job = cluster_.Submit(spec);
    cluster_.entry.Flush();
    return job;
  }

  /// \returns the lines about jobs that failed with open starts.
  std::vector<std::string> Lines() const {
    std::vector<std::string> found;
    std::copy_if(
        seen_.lines.begin(), seen_.lines.end(), std::back_inserter(found),
        [](const std::string& line) { return line.starts_with(kLine); });
    return found;
  }

  recording_sink seen_;
  fake_cluster cluster_;
};

// Guards against a job that was answered "may have run" and of which no log
// tells, from its name alone, which submission has started a task where.
TEST_F(open_starts_log_test, NamesTheAgentOfEachOpenStart) {
  const job_id job = SubmitNamed(2);
  cluster_.entry.Cancel(job);
  ASSERT_EQ(Lines().size(), 1U);
  const std::string line = Lines().front();
  EXPECT_NE(line.find(" job=" + ToString(job) + " "), std::string::npos);
  EXPECT_NE(line.find(" name=5c0e7a21d94b36f8.0.0 "), std::string::npos);
  EXPECT_NE(line.find(" effect=may_have_run "), std::string::npos);
  EXPECT_NE(line.find("0.1@agent-"), std::string::npos) << line;
  EXPECT_NE(line.find(",1.1@agent-"), std::string::npos) << line;
}

// Guards against lines for jobs of which nothing has run.
TEST_F(open_starts_log_test, LeavesOutJobsWithoutStarts) {
  const job_id job = cluster_.Submit(fake_cluster::Job(1, seconds(60)));
  cluster_.entry.Cancel(job);
  EXPECT_TRUE(Lines().empty());
}

}  // namespace
}  // namespace jayrill
