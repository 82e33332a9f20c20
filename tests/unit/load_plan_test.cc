#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <cmath>

#include "jayrill/load.h"

namespace jayrill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

struct ideal_case {
  std::vector<int> work_ms;
  const char* fleet;
  double expected_ms;
};

class ideal_test : public testing::TestWithParam<ideal_case> {};

// Guards against a wrong ideal response time, which would shift every slowdown
// of a report.
TEST_P(ideal_test, FinishesAsStated) {
  std::vector<microseconds> times;
  for (const int work : GetParam().work_ms) {
    times.emplace_back(milliseconds(work));
  }
  const auto fleet = ParseFleet(GetParam().fleet);
  ASSERT_TRUE(fleet);
  EXPECT_EQ(IdealResponseTime(times, *fleet).count(),
            std::llround(GetParam().expected_ms * 1e3));
}

INSTANTIATE_TEST_SUITE_P(
    table,
    ideal_test,
    testing::Values(ideal_case{{}, "1:1", 0},
                    ideal_case{{100}, "1:1", 100},
                    ideal_case{{100, 100, 100}, "1:1", 300},
                    ideal_case{{100, 100, 100}, "3:1", 100},
                    ideal_case{{100, 100, 100}, "3*1:1", 100},
                    // 300 is scheduled first and has a slot of its own; 200 and
                    // 100 share the other one.
                    ideal_case{{100, 200, 300}, "2:1", 300},
                    // The second task finishes earlier after the first one on
                    // the fast slot (200) than on the slow slot (300).
                    ideal_case{{100, 100}, "1:1,1:3", 200},
                    ideal_case{{100, 100, 100}, "1:1,1:3", 300},
                    ideal_case{{100}, "8:3,1:0.5", 50},
                    ideal_case{{50, 50, 50, 50}, "1:1.5,2:1", 100}));

// Guards against an ideal response time that no schedule can reach, or that is
// longer than running all tasks on the fastest slot one after the other.
RC_GTEST_PROP(ideal_property, StaysWithinBounds, ()) {
  const auto run_times_us = *rc::gen::nonEmpty<std::vector<std::uint16_t>>();
  const auto slots = *rc::gen::inRange(1U, 20U);
  std::vector<microseconds> times;
  microseconds sum{};
  for (const std::uint16_t time : run_times_us) {
    times.emplace_back(time);
    sum += microseconds(time);
  }
  const std::vector<fleet_member> fleet{{slots, 1.0}, {1, 2.0}};
  const microseconds ideal = IdealResponseTime(times, fleet);
  RC_ASSERT(ideal >= *std::max_element(times.begin(), times.end()));
  RC_ASSERT(static_cast<double>(ideal.count() + 1) * FleetCapacity(fleet) >=
            static_cast<double>(sum.count()));
  RC_ASSERT(ideal <= sum);
}

// Guards against malformed text that is accepted and read as some other fleet.
TEST(fleet_test, RefusesMalformedText) {
  EXPECT_EQ(ParseFleet("2*8:1.5,4:1")->size(), 3U);
  for (const char* text : {"", "8", "8:", "8:0", "0:1", "8:-1", "8:nan", "x:1",
                           "0*8:1", "8:1,", "8:1:1", "99999999:1"}) {
    EXPECT_FALSE(ParseFleet(text)) << text;
  }
}

std::vector<planned_job> CollectJobs(arrival_source& arrivals) {
  std::vector<planned_job> jobs;
  while (auto job = arrivals.Next()) {
    jobs.push_back(*std::move(job));
  }
  return jobs;
}

job_shape TestShape() {
  job_shape shape;
  shape.services = {{"quote", 3.0}, {"batch", 1.0}};
  shape.teams = {{"north", 1.0}, {"south", 1.0}};
  shape.idempotent_share = 0.5;
  return shape;
}

std::vector<planned_job> Arrivals(double rate, std::uint64_t seed) {
  poisson_arrivals arrivals(TestShape(), rate, 100s, seed);
  return CollectJobs(arrivals);
}

// Guards against runs that cannot be repeated from their seed.
TEST(arrivals_test, AreTheSameForTheSameSeed) {
  EXPECT_EQ(Arrivals(20, 7), Arrivals(20, 7));
  EXPECT_NE(Arrivals(20, 7), Arrivals(20, 8));
}

// Guards against arrivals whose rate or distributions differ from the requested
// ones. With 5000 jobs the bounds are five standard deviations or more.
TEST(arrivals_test, HaveTheRateAndShapeAskedFor) {
  const std::vector<planned_job> jobs = Arrivals(50, 3);
  const auto count = static_cast<double>(jobs.size());
  EXPECT_NEAR(count, 5000, 5 * std::sqrt(5000.0));
  double quotes = 0;
  double idempotent = 0;
  double gaps_below_mean = 0;
  double tasks = 0;
  double long_tasks = 0;
  microseconds work{};
  microseconds previous_offset{};
  for (const planned_job& job : jobs) {
    ASSERT_GE(job.offset, previous_offset);
    ASSERT_LE(job.offset, 100s);
    gaps_below_mean += job.offset - previous_offset < 20ms ? 1 : 0;
    previous_offset = job.offset;
    quotes += job.service == "quote" ? 1 : 0;
    idempotent += job.idempotent ? 1 : 0;
    ASSERT_GE(job.tasks.size(), 1U);
    ASSERT_LE(job.tasks.size(), 20U);
    for (const planned_task& task : job.tasks) {
      ++tasks;
      long_tasks += task.work >= 2s ? 1 : 0;
      work += task.work;
      ASSERT_TRUE((task.work >= 50ms && task.work <= 1s) ||
                  (task.work >= 2s && task.work <= 5s));
      // Both times are rounded to milliseconds after the factor is applied, so
      // the bounds allow 1 ms.
      ASSERT_LE(task.declared, 10 * (task.work + 1ms));
      ASSERT_GE(task.declared + 1ms, (task.work - 1ms) / 10);
    }
  }
  EXPECT_NEAR(quotes / count, 0.75, 0.035);
  EXPECT_NEAR(idempotent / count, 0.5, 0.04);
  EXPECT_NEAR(gaps_below_mean / count, 1 - std::exp(-1), 0.04);
  EXPECT_NEAR(long_tasks / tasks, 0.03, 0.004);
  EXPECT_NEAR(static_cast<double>(work.count()) / count,
              static_cast<double>(MeanJobWork(TestShape()).count()),
              0.05 * static_cast<double>(MeanJobWork(TestShape()).count()));
}

// Guards against a burst that is omitted, sent late or too small.
TEST(arrivals_test, SendBurstAtItsTime) {
  for (const microseconds burst_offset : {microseconds(0), microseconds(50s)}) {
    poisson_arrivals arrivals(TestShape(), 1, 100s, 1);
    arrivals.AddBurst(burst_offset, 264);
    std::size_t burst_tasks = 0;
    microseconds previous_offset{};
    for (const planned_job& job : CollectJobs(arrivals)) {
      EXPECT_GE(job.offset, previous_offset);
      previous_offset = job.offset;
      burst_tasks += job.offset == burst_offset ? job.tasks.size() : 0;
    }
    EXPECT_GE(burst_tasks, 264U);
    EXPECT_LT(burst_tasks, 264U + 20U);
  }
}

// Guards against a replay that differs from the recorded run.
TEST(trace_test, ReplaysWhatWasRecorded) {
  const std::vector<planned_job> jobs = Arrivals(2, 5);
  std::string text;
  for (const planned_job& job : jobs) {
    text += EncodeTraceLine(job) + "\n\n";
  }
  auto trace = trace_arrivals::Parse(text);
  ASSERT_TRUE(trace) << ToString(trace.error());
  EXPECT_EQ(CollectJobs(*trace), jobs);
}

// Guards against a malformed trace that is accepted and replayed in part.
TEST(trace_test, RefusesMalformedLines) {
  const std::string good =
      R"({"offset_ms":1,"tasks":[{"kind":"k","work_ms":5}]})";
  ASSERT_TRUE(DecodeTraceLine(good));
  for (const char* line :
       {"x", "[]", R"({"tasks":[{"work_ms":5}]})",
        R"({"offset_ms":1,"tasks":[]})", R"({"offset_ms":1,"tasks":[{}]})",
        R"({"offset_ms":-1,"tasks":[{"work_ms":5}]})",
        R"({"offset_ms":1,"tasks":[{"work_ms":"5"}]})"}) {
    const auto trace = trace_arrivals::Parse(good + "\n" + line);
    ASSERT_FALSE(trace) << line;
    EXPECT_NE(trace.error().message.find("line 2"), std::string::npos);
  }
}

}  // namespace
}  // namespace jayrill
