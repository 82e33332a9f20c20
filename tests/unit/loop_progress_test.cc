#include "jayrill/session/loop_progress.h"

#include <gtest/gtest.h>

#include <ostream>

namespace jayrill {
namespace {

using std::chrono::milliseconds;

struct lag_case {
  const char* name;
  milliseconds since_tick;
  milliseconds lag;
};

void PrintTo(const lag_case& param, std::ostream* out) {
  *out << param.name;
}

class loop_progress_test : public testing::TestWithParam<lag_case> {};

// Guards against a thread that relies on input which the loop may have
// missed: only what came before the tick before the last one is known to be
// handled.
TEST_P(loop_progress_test, LagsBehindTheTickBeforeTheLast) {
  manual_clock time;
  loop_progress progress(time);
  progress.Tick();
  time.Advance(loop_progress::kTickInterval);
  progress.Tick();
  time.Advance(GetParam().since_tick);
  EXPECT_EQ(progress.Lag(), GetParam().lag);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    loop_progress_test,
    testing::Values(lag_case{"on_time", milliseconds(100), milliseconds(0)},
                    lag_case{"just_on_time", milliseconds(150),
                             milliseconds(0)},
                    lag_case{"late", milliseconds(160), milliseconds(260)},
                    lag_case{"stuck", milliseconds(3900), milliseconds(4000)}),
    [](const auto& tested) { return tested.param.name; });

// Guards against a loop that counts as late after it has caught up.
TEST(loop_progress_ticks_test, CatchesUpWithTwoTicks) {
  manual_clock time;
  loop_progress progress(time);
  time.Advance(milliseconds(2000));
  progress.Tick();
  EXPECT_EQ(progress.Lag(), milliseconds(2000));
  progress.Tick();
  EXPECT_EQ(progress.Lag(), milliseconds(0));
}

}  // namespace
}  // namespace jayrill
