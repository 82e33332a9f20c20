#include "jayrill/agent/minion_admission.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace jayrill {
namespace {

announcement Heartbeat(const std::string& instance,
                       std::uint64_t life,
                       std::uint64_t sequence,
                       std::uint16_t port = 8000) {
  announcement minion;
  minion.service = "quotes";
  minion.instance = instance;
  minion.host = "127.0.0.1";
  minion.port = port;
  minion.life = life;
  minion.sequence = sequence;
  return minion;
}

/// An admission whose questions are answered when the test says so.
struct minion_admission_test : testing::Test {
  /// Offers \p minion and answers the question for it, if there is one.
  void OfferAndAnswer(const announcement& minion, identity_answer answer) {
    admission.Offer(minion);
    if (!questions.empty()) {
      const auto done = std::exchange(questions, {}).front();
      done(answer);
    }
  }

  std::vector<minion_admission::answer_function> questions;
  std::vector<announcement> accepted;
  std::vector<std::string> rejections;
  minion_admission admission{
      {[this](const announcement&,
              const minion_admission::answer_function& done) {
         questions.push_back(done);
       },
       [this](announcement minion) { accepted.push_back(std::move(minion)); },
       [this](const announcement&, const std::string& reason) {
         rejections.push_back(reason);
       }}};
};

// Guards against a notice of leaving, or a heartbeat, that a partition has held
// back and that would take its successor at the same address out of use.
TEST_F(minion_admission_test, IgnoresWhatAnEarlierMinionSentLate) {
  EXPECT_FALSE(admission.IsPresent("i-1"));
  OfferAndAnswer(Heartbeat("i-1", 10, 9), identity_answer::kSame);
  EXPECT_TRUE(admission.IsPresent("i-1"));
  OfferAndAnswer(Heartbeat("i-2", 20, 1), identity_answer::kSame);
  ASSERT_EQ(accepted.size(), 2U);
  OfferAndAnswer(Heartbeat("i-1", 10, 9), identity_answer::kSame);
  EXPECT_EQ(accepted.size(), 2U);
  EXPECT_FALSE(admission.IsPresent("i-1"));
  EXPECT_TRUE(admission.IsPresent("i-2"));
}

// Guards against a heartbeat that a newer one of the same life has overtaken
// and that would bring an earlier state back.
TEST_F(minion_admission_test, IgnoresAnOvertakenHeartbeatOfTheSameLife) {
  OfferAndAnswer(Heartbeat("i-1", 10, 9), identity_answer::kSame);
  admission.Offer(Heartbeat("i-1", 10, 8));
  EXPECT_EQ(accepted.size(), 1U);
  admission.Offer(Heartbeat("i-1", 10, 10));
  EXPECT_EQ(accepted.size(), 2U);
  EXPECT_TRUE(questions.empty());
}

struct foreign_case {
  std::string name;
  announcement minion;
  identity_answer answer;
};

struct foreign_heartbeat_test : minion_admission_test,
                                testing::WithParamInterface<foreign_case> {};

// Guards against a heartbeat of another writer that shuts the minion out.
TEST_P(foreign_heartbeat_test, LeavesThePresentMinionInUse) {
  OfferAndAnswer(Heartbeat("i-1", 10, 4), identity_answer::kSame);
  OfferAndAnswer(GetParam().minion, GetParam().answer);
  EXPECT_EQ(accepted.size(), 1U);
  EXPECT_EQ(rejections.size(), 1U);
  EXPECT_TRUE(admission.IsPresent("i-1"));
  admission.Offer(Heartbeat("i-1", 10, 5));
  EXPECT_EQ(accepted.size(), 2U);
}

// Guards against a heartbeat of another writer that comes before the first one
// of the minion and keeps that one out by its later start time.
TEST_P(foreign_heartbeat_test, LeavesTheFirstPlaceToTheMinion) {
  OfferAndAnswer(GetParam().minion, GetParam().answer);
  EXPECT_TRUE(accepted.empty());
  OfferAndAnswer(Heartbeat("i-1", 10, 4), identity_answer::kSame);
  ASSERT_EQ(accepted.size(), 1U);
  EXPECT_EQ(accepted.front().instance, "i-1");
}

INSTANTIATE_TEST_SUITE_P(
    writers,
    foreign_heartbeat_test,
    testing::Values(
        foreign_case{"nobody_listens", Heartbeat("i-0badcafe", 99, 1, 9999),
                     identity_answer::kUnknown},
        foreign_case{"another_one_listens", Heartbeat("i-0badcafe", 99, 1),
                     identity_answer::kOther},
        foreign_case{"a_later_life_of_the_same_name", Heartbeat("i-1", 99, 1),
                     identity_answer::kOther},
        foreign_case{"the_same_life_elsewhere", Heartbeat("i-1", 10, 99, 9999),
                     identity_answer::kUnknown}),
    [](const auto& param) { return param.param.name; });

// Guards against the answer of a minion that ends right after it, which would
// take its successor out of use.
TEST_F(minion_admission_test, ALateAnswerDoesNotReplaceANewerMinion) {
  admission.Offer(Heartbeat("i-1", 10, 1));
  admission.Offer(Heartbeat("i-2", 20, 1));
  ASSERT_EQ(questions.size(), 2U);
  questions[1](identity_answer::kSame);
  questions[0](identity_answer::kSame);
  ASSERT_EQ(accepted.size(), 1U);
  EXPECT_EQ(accepted.front().instance, "i-2");
}

// Guards against a question for each heartbeat of a minion that is slow to
// answer, and against an old state that counts once it has answered.
TEST_F(minion_admission_test, AsksOnceAndTakesTheNewestHeartbeat) {
  admission.Offer(Heartbeat("i-1", 10, 1));
  admission.Offer(Heartbeat("i-1", 10, 3));
  admission.Offer(Heartbeat("i-1", 10, 2));
  ASSERT_EQ(questions.size(), 1U);
  questions.front()(identity_answer::kSame);
  ASSERT_EQ(accepted.size(), 1U);
  EXPECT_EQ(accepted.front().sequence, 3U);
}

// Guards against a flood of heartbeats of other writers that becomes a flood of
// calls.
TEST_F(minion_admission_test, BoundsTheQuestionsInFlight) {
  constexpr std::uint64_t kWriters = 100;
  for (std::uint64_t i = 1; i <= kWriters; ++i) {
    admission.Offer(Heartbeat("i-" + std::to_string(i), i, 1));
  }
  EXPECT_LE(questions.size(), 8U);
  EXPECT_EQ(questions.size() + rejections.size(), kWriters);
}

}  // namespace
}  // namespace jayrill
