#include "run_log.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

namespace jayrill::soak {
namespace {

using std::chrono::milliseconds;

constexpr char kTask[] = "5c0e7a21d94b36f8.0.0.1";
constexpr char kJob[] = "5c0e7a21d94b36f8";

steady_time At(int ms) {
  return steady_time(milliseconds(ms));
}

struct second_run_case {
  const char* name;
  std::string task;
  int begin_ms;
  int overlap_ms;  ///< 0: none.
};

void PrintTo(const second_run_case& param, std::ostream* out) {
  *out << param.name;
}

class second_run_test : public testing::TestWithParam<second_run_case> {};

// Guards against a soak that misses two runs of a task at the same time, or
// reports runs that follow each other. The first run lasts from 100 to 200 ms.
TEST_P(second_run_test, OverlapsOnlyAtTheSameTime) {
  run_log log;
  const auto first = log.Begin({kTask, 1, "i-1", At(100), At(100)});
  log.End(first, At(200), run_end::kStopped);
  const auto second =
      log.Begin({GetParam().task, 1, "i-2", At(GetParam().begin_ms), At(0)});
  log.End(second, At(GetParam().begin_ms + 500), run_end::kDone);
  const std::vector<overlap> found = log.Overlaps(At(1000));
  ASSERT_EQ(found.size(), GetParam().overlap_ms > 0 ? 1U : 0U);
  if (!found.empty()) {
    EXPECT_EQ(found.front().length, milliseconds(GetParam().overlap_ms));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    second_run_test,
    testing::Values(second_run_case{"inside", kTask, 150, 50},
                    second_run_case{"at_the_end", kTask, 200, 0},
                    second_run_case{"later", kTask, 900, 0},
                    second_run_case{"another_task", "5c0e7a21d94b36f8.0.0.2",
                                    150, 0}),
    [](const auto& tested) { return tested.param.name; });

// Guards against a run that has not ended and is taken for one that is over.
TEST(run_log_test, ARunWithoutAnEndIsAtWork) {
  run_log log;
  log.Begin({kTask, 1, "i-1", At(100), At(100)});
  log.Begin({kTask, 2, "i-2", At(400), At(400)});
  EXPECT_EQ(log.Overlaps(At(450)).size(), 1U);
}

struct refusal_case {
  const char* name;
  std::vector<int> statuses;
  bool has_open_submission;
  bool is_broken;
};

void PrintTo(const refusal_case& param, std::ostream* out) {
  *out << param.name;
}

class refused_job_test : public testing::TestWithParam<refusal_case> {};

// Guards against a soak that misses a run of a job that was only refused, or
// that blames one whose caller was told that it may have run.
TEST_P(refused_job_test, IsBrokenWhenEachAnswerWasARefusal) {
  run_log log;
  log.Begin({kTask, 1, "i-1", At(100), At(100)});
  for (const int status : GetParam().statuses) {
    log.Expect(kJob);
    log.AddSubmission(kJob, {"entry-1", At(0), At(50), status});
  }
  if (GetParam().has_open_submission) {
    log.Expect(kJob);
  }
  EXPECT_EQ(log.RefusedJobsThatRan().contains(kJob), GetParam().is_broken);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    refused_job_test,
    testing::Values(refusal_case{"refused", {503}, false, true},
                    refusal_case{"refused_twice", {503, 429}, false, true},
                    refusal_case{"also_no_answer", {0, 503}, false, false},
                    refusal_case{"may_have_run", {504}, false, false},
                    refusal_case{"completed", {503, 200}, false, false},
                    refusal_case{"still_open", {503}, true, false}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace jayrill::soak
