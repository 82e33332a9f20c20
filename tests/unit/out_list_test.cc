#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <ostream>

#include "jayrill/agent/out_list_refresh.h"
#include "jayrill/config/known_out_list.h"
#include "jayrill/session/pause_detector.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

struct offer_case {
  const char* name;
  out_list held;
  out_list offered;
  bool changes = false;   ///< Other data centres are out afterwards.
  bool confirms = false;  ///< The time of the offer counts.
  std::uint64_t revision_after = 0;
};

void PrintTo(const offer_case& param, std::ostream* out) {
  *out << param.name;
}

class offer_test : public testing::TestWithParam<offer_case> {};

// Guards against a process that goes back to an older list of the data centres
// that are out, because it comes later, and against one that takes an older
// list for a confirmation.
TEST_P(offer_test, TheNewestListStays) {
  const steady_time earlier{milliseconds(1000)};
  const steady_time later{milliseconds(2000)};
  known_out_list known;
  known.Offer(GetParam().held, earlier);
  EXPECT_EQ(known.Offer(GetParam().offered, later), GetParam().changes);
  EXPECT_EQ(known.confirmed(), GetParam().confirms ? later : earlier);
  EXPECT_EQ(known.list().revision.value, GetParam().revision_after);
  known.Offer(known.list(), earlier);
  EXPECT_EQ(known.confirmed(), GetParam().confirms ? later : earlier);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    offer_test,
    testing::Values(
        offer_case{"newer", {{5}, {}}, {{6}, {"east"}}, true, true, 6},
        offer_case{"newer_end", {{5}, {"east"}}, {{6}, {}}, true, true, 6},
        offer_case{"newer_and_same",
                   {{5}, {"a"}},
                   {{6}, {"a"}},
                   false,
                   true,
                   6},
        offer_case{"older", {{5}, {"east"}}, {{4}, {}}, false, false, 5},
        offer_case{"older_and_same", {{5}, {}}, {{4}, {}}, false, true, 5},
        offer_case{"same_revision", {{5}, {"a"}}, {{5}, {}}, false, false, 5},
        offer_case{"not_known", {{5}, {"a"}}, {{0}, {}}, false, false, 5}),
    [](const auto& tested) { return tested.param.name; });

/// Limit of the users for starts in a data centre that was taken out
/// (`evacuate_ms`), less the longest time from the admission of a start to its
/// order: the longest lease less the least one (docs/platform.md).
constexpr milliseconds kLimit{5000 - 840};

struct refresh_case {
  const char* name;
  /// Reads that use up their limit before one is answered.
  int lost_reads = 0;
  milliseconds answer_time{};
  /// Reads that failed before an entry confirmed the list once more.
  int earlier_failures = 0;
};

void PrintTo(const refresh_case& param, std::ostream* out) {
  *out << param.name;
}

class refresh_test : public testing::TestWithParam<refresh_case> {};

// Guards against an agent that asks the store so late, after the last
// confirmation, that it starts tasks in a data centre that was taken out.
TEST_P(refresh_test, AsksInTime) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    manual_clock time;
    out_list_refresh refresh(time, random_source(seed));
    for (int failed = 0; failed < GetParam().earlier_failures;) {
      time.Advance(kPauseTick);
      if (refresh.Tick(std::nullopt)) {
        refresh.OnReadEnded(false);
        ++failed;
      }
    }
    const steady_time confirmed = time.Now();
    std::optional<steady_time> answered;
    int lost = 0;
    while (!answered) {
      time.Advance(kPauseTick);
      const auto limit = refresh.Tick(confirmed);
      if (!limit) {
        continue;
      }
      const steady_time began = time.Now();
      const bool is_lost = lost < GetParam().lost_reads;
      time.Advance(is_lost ? *limit : GetParam().answer_time);
      ASSERT_TRUE(is_lost || GetParam().answer_time <= *limit);
      EXPECT_EQ(refresh.OnReadEnded(!is_lost), began);
      lost += is_lost ? 1 : 0;
      if (!is_lost) {
        answered = time.Now();
      }
    }
    EXPECT_LE(*answered - confirmed, kLimit) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    refresh_test,
    testing::Values(refresh_case{"answered_at_once"},
                    refresh_case{"slow_answer", 0, milliseconds(500)},
                    refresh_case{"dead_connection", 1, milliseconds(50)},
                    refresh_case{"dead_connection_and_slow_answer", 1,
                                 milliseconds(500)},
                    refresh_case{"dead_connection_after_an_outage", 1,
                                 milliseconds(500), 10}),
    [](const auto& tested) { return tested.param.name; });

// Guards against agents that read the store on a sound day, on which an entry
// confirms the list every second, and against a start of all agents that does.
TEST(out_list_refresh_test, ReadsNothingWhileAnEntryConfirms) {
  manual_clock time;
  out_list_refresh refresh(time, random_source(1));
  for (int tick = 1; tick < 600; ++tick) {
    time.Advance(kPauseTick);
    // The entry's own poll takes 700 ms.
    const steady_time confirmed = time.Now() - kPauseTick * (tick % 10 + 7);
    EXPECT_FALSE(
        refresh.Tick(tick < 10 ? std::nullopt : std::optional(confirmed)));
  }
}

// Guards against agents that read again and again without a pause while the
// store does not answer.
TEST(out_list_refresh_test, ReadsAtMostTwiceASecondWhileTheStoreIsDown) {
  manual_clock time;
  out_list_refresh refresh(time, random_source(1));
  int reads = 0;
  for (int tick = 0; tick < 600; ++tick) {
    time.Advance(kPauseTick);
    if (refresh.Tick(std::nullopt)) {
      ++reads;
      refresh.OnReadEnded(false);
    }
  }
  EXPECT_GE(reads, 30);
  EXPECT_LE(reads, 120);
}

}  // namespace
}  // namespace jayrill
