#include "jayrill/job.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace jayrill {
namespace {

task_result Result(task_outcome outcome, std::string body = "{}") {
  task_result result;
  result.outcome = outcome;
  result.body = std::move(body);
  return result;
}

// Guards against an answer whose results are not in task order.
TEST(job_collector_test, AnswersInTaskOrder) {
  job_collector collector(3);
  for (std::uint32_t i = 0; i < 3; ++i) {
    collector.OnStartSent(i);
  }
  EXPECT_TRUE(collector.OnResult(2, Result(task_outcome::kSucceeded, "c")));
  EXPECT_TRUE(collector.OnResult(0, Result(task_outcome::kSucceeded, "a")));
  EXPECT_FALSE(collector.outcome().has_value());
  EXPECT_TRUE(collector.OnResult(1, Result(task_outcome::kSucceeded, "b")));
  ASSERT_TRUE(collector.outcome().has_value());
  EXPECT_EQ((*collector.outcome())->results,
            (std::vector<std::string>{"a", "b", "c"}));
}

struct failure_case {
  const char* name;
  std::vector<task_outcome>
      outcomes;  // Of tasks 0, 1, ...; others are not sent.
  std::size_t tasks;
  job_effect effect;
};

class job_failure_test : public testing::TestWithParam<failure_case> {};

// Guards against a failure whose effect says less than what may have run.
TEST_P(job_failure_test, StatesWhatMayHaveRun) {
  const failure_case& param = GetParam();
  job_collector collector(param.tasks);
  for (std::uint32_t i = 0; i < param.outcomes.size(); ++i) {
    collector.OnStartSent(i);
  }
  for (std::uint32_t i = 0; i < param.outcomes.size(); ++i) {
    collector.OnResult(i, Result(param.outcomes[i]));
  }
  collector.Fail("deadline", "the deadline passed", "submit again");
  ASSERT_TRUE(collector.outcome().has_value());
  ASSERT_FALSE(collector.outcome()->has_value());
  EXPECT_EQ(collector.outcome()->error().effect, param.effect);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    job_failure_test,
    testing::Values(
        failure_case{"nothing_sent", {}, 2, job_effect::kNotRun},
        failure_case{"all_given_back",
                     {task_outcome::kNotRun, task_outcome::kNotRun},
                     2,
                     job_effect::kNotRun},
        failure_case{"one_ran",
                     {task_outcome::kSucceeded, task_outcome::kNotRun},
                     2,
                     job_effect::kRanAndFailed},
        failure_case{"one_unknown",
                     {task_outcome::kNotRun, task_outcome::kUnknown},
                     2,
                     job_effect::kMayHaveRun},
        failure_case{"one_failed",
                     {task_outcome::kFailed},
                     2,
                     job_effect::kRanAndFailed}),
    [](const auto& test) { return test.param.name; });

// Guards against a late or duplicate result that changes a decided job.
TEST(job_collector_test, DropsLateAndDoubledResults) {
  job_collector collector(2);
  collector.OnStartSent(0);
  collector.OnStartSent(1);
  EXPECT_TRUE(collector.OnResult(0, Result(task_outcome::kSucceeded)));
  EXPECT_FALSE(collector.OnResult(0, Result(task_outcome::kFailed)));
  EXPECT_TRUE(collector.Fail("deadline", "the deadline passed", ""));
  EXPECT_FALSE(collector.OnResult(1, Result(task_outcome::kSucceeded)));
  EXPECT_FALSE(collector.outcome()->has_value());
}

}  // namespace
}  // namespace jayrill
