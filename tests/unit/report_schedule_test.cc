#include "jayrill/agent/report_schedule.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "jayrill/agent/backoff.h"
#include "jayrill/base/clock.h"
#include "jayrill/base/random_source.h"
#include "jayrill/entry/heartbeat.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

// Guards against status reports at an unbounded rate, missing heartbeats, and
// dead connections that are not detected.
TEST(report_schedule_test, ThrottlesStatusAndDetectsSilence) {
  const steady_time start{std::chrono::hours(1)};
  report_schedule schedule(milliseconds(20));
  minion_status status;
  schedule.Open(start, milliseconds(1000), status);
  EXPECT_FALSE(schedule.StatusDue(status));
  status.time_until_free = milliseconds(5);
  EXPECT_FALSE(schedule.StatusDue(status));
  status.busy = 1;
  EXPECT_EQ(schedule.StatusDue(status), start + milliseconds(20));
  schedule.OnReport(start + milliseconds(30), status);
  EXPECT_FALSE(schedule.StatusDue(status));
  EXPECT_FALSE(schedule.IsHeartbeatDue(start + milliseconds(1029)));
  EXPECT_TRUE(schedule.IsHeartbeatDue(start + milliseconds(1030)));
  EXPECT_FALSE(schedule.IsSilent(start + milliseconds(3000)));
  EXPECT_TRUE(schedule.IsSilent(start + milliseconds(3001)));
  schedule.OnMessageReceived(start + milliseconds(10));
  EXPECT_FALSE(schedule.IsSilent(start + milliseconds(3001)));
}

// Guards against an agent that keeps the heartbeat interval of its connect
// although the entry, whose number of sessions has changed, asks for another.
TEST(report_schedule_test, FollowsTheIntervalsOfItsEntries) {
  const steady_time start{std::chrono::hours(1)};
  report_schedule schedule(milliseconds(20));
  schedule.Open(start, milliseconds(1000), {});
  schedule.SetHeartbeat(milliseconds(0));
  EXPECT_EQ(schedule.heartbeat(), milliseconds(1000));
  schedule.SetHeartbeat(milliseconds(4000));
  EXPECT_FALSE(schedule.IsHeartbeatDue(start + milliseconds(3999)));
  EXPECT_FALSE(schedule.IsSilent(start + milliseconds(12000)));
  EXPECT_TRUE(schedule.IsSilent(start + milliseconds(12001)));
  EXPECT_EQ(StatusInterval(milliseconds(20), 1), milliseconds(20));
  EXPECT_EQ(StatusInterval(milliseconds(20), 3), milliseconds(20));
  EXPECT_EQ(StatusInterval(milliseconds(20), 12), milliseconds(240));
}

// Guards against an entry with little processor time whose agents report at a
// rate that takes most of it.
TEST(report_schedule_test, ReportsAsSeldomAsTheEntryWants) {
  const steady_time start{std::chrono::hours(1)};
  report_schedule schedule(milliseconds(20));
  schedule.Open(start, milliseconds(1000), {});
  minion_status status;
  status.busy = 1;
  schedule.SetWantedStatusInterval(milliseconds(440));
  EXPECT_EQ(schedule.StatusDue(status), start + milliseconds(440));
  schedule.SetWantedStatusInterval(milliseconds(5));
  EXPECT_EQ(schedule.StatusDue(status), start + milliseconds(20));
  schedule.SetWantedStatusInterval(milliseconds(60'000));
  EXPECT_EQ(schedule.StatusDue(status), start + milliseconds(1000));
  schedule.Open(start, milliseconds(1000), {});
  EXPECT_EQ(schedule.StatusDue(status), start + milliseconds(20));
}

// Guards against an agent that reports a change of its load late, or misses a
// heartbeat, because it has sent a report for the sake of its answer before.
TEST(report_schedule_test, AQuestionPutsOffNothing) {
  const steady_time start{std::chrono::hours(1)};
  report_schedule schedule(milliseconds(20));
  schedule.Open(start, milliseconds(1000), {});
  minion_status status;
  status.busy = 1;
  schedule.OnQuestion(status);
  EXPECT_FALSE(schedule.StatusDue(status));
  EXPECT_EQ(schedule.StatusDue({}), start + milliseconds(20));
  EXPECT_TRUE(schedule.IsHeartbeatDue(start + milliseconds(1000)));
}

struct interval_case {
  std::size_t sessions;
  double cores;
  milliseconds interval;
};

// Guards against reports of all agents that together take more than a tenth of
// the processor time of an entry, also with a fraction of a core.
TEST(report_schedule_test, EntriesBoundAllReportsTogether) {
  for (const interval_case& item : {
           interval_case{0, 0.12, milliseconds(0)},
           interval_case{11, 0.25, milliseconds(110)},
           interval_case{53, 0.12, milliseconds(1105)},
           interval_case{66, 0.09, milliseconds(1834)},
           interval_case{188, 1, milliseconds(470)},
       }) {
    EXPECT_EQ(StatusReportInterval(item.sessions, item.cores), item.interval);
  }
}

// Guards against agents that reconnect to a restarted entry without a delay or
// all at the same time.
RC_GTEST_PROP(backoff_property, StaysInItsBounds, (std::uint64_t seed)) {
  random_source random(seed);
  backoff delays;
  milliseconds step = backoff::kFirstDelay;
  for (int i = 0; i < 10; ++i) {
    const milliseconds delay = delays.Next(random);
    RC_ASSERT(delay >= step / 2 && delay <= step);
    step = std::min(step * 2, backoff::kLongestDelay);
  }
}

}  // namespace
}  // namespace jayrill
