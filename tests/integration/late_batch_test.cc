#include <ostream>

#include "agent_fixture.h"
#include "jayrill/rpc/codec.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

struct late_batch_case {
  const char* name;
  milliseconds age;
  task_outcome outcome;
};

void PrintTo(const late_batch_case& param, std::ostream* out) {
  *out << param.name;
}

class late_batch_test : public agent_fixture,
                        public testing::WithParamInterface<late_batch_case> {};

// Guards against a start that reaches the minion although the message with it
// was on its way for longer than the entry waits, and against an agent that
// does not tell its time, without which no entry can say how old a start is.
TEST_P(late_batch_test, RunsOnlyInTime) {
  agent_settings settings;
  settings.silence_timeout = milliseconds(20'000);
  Launch(1, settings);
  ASSERT_TRUE(WaitFor([&] { return entry.Record().reports > 0; }));
  const fake_entry::record record = entry.Record();
  EXPECT_GT(record.hello_sent_micros, 0U);
  EXPECT_GE(record.report_sent_micros, record.hello_sent_micros);
  EXPECT_LE(record.report_sent_micros, EncodeClock(time.Now()));
  entry.Send(
      {config_revision{1}, {}, {Order(1, 0)}, time.Now() - GetParam().age});
  EXPECT_EQ(ResultOf(1).outcome, GetParam().outcome);
  EXPECT_EQ(minion->record().total(),
            GetParam().outcome == task_outcome::kSucceeded ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Ages,
    late_batch_test,
    testing::Values(
        late_batch_case{"new", milliseconds(0), task_outcome::kSucceeded},
        // The clocks of an entry and an agent may differ by a little in rate.
        late_batch_case{"in_the_future", milliseconds(-5),
                        task_outcome::kSucceeded},
        late_batch_case{"late", milliseconds(20'001), task_outcome::kNotRun}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace jayrill
