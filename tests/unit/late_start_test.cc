#include <gtest/gtest.h>

#include <optional>
#include <ostream>

#include "agent_core_rig.h"

namespace jayrill {
namespace {

constexpr milliseconds kSilenceTimeout{650};

agent_settings SettingsWithSilence(milliseconds timeout) {
  agent_settings settings = Settings();
  settings.silence_timeout = timeout;
  return settings;
}

struct late_start_case {
  const char* name;
  milliseconds silence_timeout;
  std::optional<milliseconds> age;  ///< Of the batch; nothing: not known.
  bool is_admitted;
};

void PrintTo(const late_start_case& param, std::ostream* out) {
  *out << param.name;
}

class late_start_test : public testing::TestWithParam<late_start_case> {};

// Guards against a start that a partition or a slow reader has held back and
// that runs after its entry has closed the session. The caller has submitted
// the job again by then, so the task would have two runs at the same time.
TEST_P(late_start_test, RunsOnlyWhileTheEntryWaitsForIt) {
  core_rig rig(SettingsWithSilence(GetParam().silence_timeout));
  start_batch batch{{5}, rig.epoch, {Order(1)}};
  if (GetParam().age) {
    batch.placed = rig.time.Now() - *GetParam().age;
  }
  rig.core.AdmitBatch(kEntry, batch);
  EXPECT_EQ(rig.host.calls.size(), GetParam().is_admitted ? 1U : 0U);
  const auto results = rig.Results();
  ASSERT_EQ(results.size(), GetParam().is_admitted ? 0U : 1U);
  if (!GetParam().is_admitted) {
    EXPECT_EQ(results.front().outcome, task_outcome::kNotRun);
    EXPECT_EQ(results.front().reason, not_run_reason::kExpired);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    late_start_test,
    testing::Values(
        late_start_case{"new", kSilenceTimeout, milliseconds(0), true},
        late_start_case{"at_limit", kSilenceTimeout, kSilenceTimeout, true},
        late_start_case{"late", kSilenceTimeout, milliseconds(651), false},
        late_start_case{"very_late", kSilenceTimeout, milliseconds(60'000),
                        false},
        late_start_case{"age_not_known", kSilenceTimeout, std::nullopt, true},
        late_start_case{"no_limit", milliseconds(0), milliseconds(60'000),
                        true}),
    [](const auto& tested) { return tested.param.name; });

// Guards against an agent that refuses all starts for ever after it has refused
// one that was late.
TEST(late_start_order_test, NextStartRuns) {
  core_rig rig(SettingsWithSilence(kSilenceTimeout));
  rig.core.AdmitBatch(
      kEntry, {{5}, rig.epoch, {Order(1)}, rig.time.Now() - milliseconds(700)});
  ASSERT_TRUE(rig.host.calls.empty());
  rig.core.AdmitBatch(kEntry, {{5}, rig.epoch, {Order(2)}, rig.time.Now()});
  ASSERT_EQ(rig.host.calls.size(), 1U);
  EXPECT_EQ(rig.host.calls.front().order.number, start_number{2});
}

// Guards against a lease that is renewed on the word of an entry that has given
// the run up: only the answer to a report comes after all its cancellations.
TEST(run_guard_test, OnlyAnswersToReportsShowThatTheEntryWaits) {
  core_rig rig(SettingsWithSilence(kSilenceTimeout));
  const steady_time placed = rig.time.Now();
  rig.core.AdmitBatch(kEntry, {{5}, rig.epoch, {Order(1)}, placed});
  ASSERT_EQ(rig.host.calls.size(), 1U);
  const run_guard_ptr guard = rig.host.calls.front().guard;
  EXPECT_EQ(guard->awaited_at(), placed);
  rig.time.Advance(milliseconds(100));
  rig.core.OnAlive(kEntry, rig.time.Now());
  rig.core.AdmitBatch(kEntry, {{5}, rig.epoch, {Order(2)}, rig.time.Now()});
  EXPECT_EQ(guard->awaited_at(), placed);
  rig.core.OnReportAnswered(kEntry, rig.time.Now(), milliseconds(0));
  EXPECT_EQ(guard->awaited_at(), rig.time.Now());
}

struct silence_case {
  const char* name;
  /// Shows in \p rig that the entry was alive at \p when.
  void (*hear)(core_rig& rig, steady_time when);
};

void PrintTo(const silence_case& param, std::ostream* out) {
  *out << param.name;
}

void HearStarts(core_rig& rig, steady_time when) {
  rig.core.AdmitBatch(kEntry, {{5}, rig.epoch, {Order(2)}, when});
}
void HearAnswer(core_rig& rig, steady_time when) {
  rig.core.OnAlive(kEntry, when);
}

class silence_test : public testing::TestWithParam<silence_case> {
 protected:
  silence_test() {
    rig_.core.AdmitBatch(kEntry,
                         {{5}, rig_.epoch, {Order(1)}, rig_.time.Now()});
  }

  core_rig rig_{SettingsWithSilence(kSilenceTimeout)};
};

// Guards against a run that goes on because a message of its entry arrives long
// after it was sent. The entry may be dead, or may have closed the session.
TEST_P(silence_test, CountsFromWhenTheEntryWasAlive) {
  ASSERT_EQ(rig_.host.calls.size(), 1U);
  const steady_time alive = rig_.time.Now() + milliseconds(100);
  rig_.time.Advance(milliseconds(600));
  rig_.core.Announce(Minion(1));
  GetParam().hear(rig_, alive);
  rig_.core.Tick();
  EXPECT_TRUE(rig_.host.stopped.empty());
  rig_.time.Advance(milliseconds(151));
  rig_.core.Tick();
  EXPECT_EQ(rig_.host.stopped.size(), 1U);
}

// Guards against a run that is stopped because messages that show different
// times arrive in another order.
TEST_P(silence_test, KeepsTheLatestProof) {
  const steady_time alive = rig_.time.Now();
  rig_.time.Advance(milliseconds(600));
  rig_.core.OnAlive(kEntry, rig_.time.Now());
  GetParam().hear(rig_, alive);
  rig_.time.Advance(milliseconds(200));
  rig_.core.Tick();
  EXPECT_TRUE(rig_.host.stopped.empty());
}

INSTANTIATE_TEST_SUITE_P(Messages,
                         silence_test,
                         testing::Values(silence_case{"starts", HearStarts},
                                         silence_case{"answer", HearAnswer}),
                         [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace jayrill
