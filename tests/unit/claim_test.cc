#include "jayrill/claim.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jayrill/base.h"
#include "manual_scheduler.h"
#include "random_faults.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using decision_kind = claim_decision::kind;

struct key_case {
  const char* text;
  bool valid;
};

class request_key_test : public testing::TestWithParam<key_case> {};

// Guards against accepting a key without a valid time: its age would be
// unknown, so it could be granted again after its claim is removed.
TEST_P(request_key_test, NeedsTimeAndName) {
  EXPECT_EQ(ParseRequestKey(GetParam().text).has_value(), GetParam().valid);
}

INSTANTIATE_TEST_SUITE_P(
    all,
    request_key_test,
    testing::Values(key_case{"1700000000000-order", true},
                    key_case{"0-a-b", true},
                    key_case{"", false},
                    key_case{"order", false},
                    key_case{"-1-order", false},
                    key_case{"17", false},
                    key_case{"17-", false},
                    key_case{"17-two words", false},
                    key_case{"17-\x01", false},
                    key_case{" 17-a", false},
                    key_case{"+17-a", false},
                    key_case{"99999999999999999999-a", false},
                    key_case{"999999999999999999-a", false}));

struct age_case {
  milliseconds age;
  key_age expected;
  bool expired;
};

class key_age_test : public testing::TestWithParam<age_case> {};

// Guards against removing a claim while an entry whose clock is one minute
// behind still accepts its key.
TEST_P(key_age_test, FollowsTheWindow) {
  const wall_time now(std::chrono::hours(1000));
  EXPECT_EQ(AgeOf(now - GetParam().age, now), GetParam().expected);
  EXPECT_EQ(IsPastClaimLifetime(now - GetParam().age, now), GetParam().expired);
}

INSTANTIATE_TEST_SUITE_P(
    all,
    key_age_test,
    testing::Values(
        age_case{minutes(-1) - milliseconds(1), key_age::kInFuture, false},
        age_case{minutes(-1), key_age::kValid, false},
        age_case{minutes(10), key_age::kValid, false},
        age_case{minutes(10) + milliseconds(1), key_age::kExpired, false},
        age_case{minutes(12), key_age::kExpired, false},
        age_case{minutes(12) + milliseconds(1), key_age::kExpired, true}));

// Guards against losing a field when a shard is stored and read back, and
// against reading a damaged shard as an empty one.
TEST(claim_shard_test, CodecKeepsEveryField) {
  claim_shard shard;
  const wall_time time(minutes(1));
  const std::uint64_t token = ~0ULL;
  shard.claims["1-a"] = {
      claim_state::kRunning, incarnation{token}, token, 7, time, {}};
  shard.claims["1-b"] = {
      claim_state::kEnded, {}, 1, 7, time, {"complete", "{\"a\":\"\u00e9\"}"}};
  shard.claims["1-c"] = {claim_state::kEnded,     {}, 1, 7, time,
                         {"failed", std::nullopt}};
  shard.claims["1-d"] = {claim_state::kReleased, {}, 1, 7, time, {}};
  EXPECT_EQ(DecodeShard(EncodeShard(shard)), shard);
  for (
      const char* text :
      {"", "[]", "{}", R"({"claims":[]})", R"({"claims":{"1-a":{}}})",
       R"({"claims":{"1-a":{"state":"x","token":"1","entry":"1","time_ms":1}}})"}) {
    EXPECT_FALSE(DecodeShard(text).has_value()) << text;
  }
}

// Guards against reading an outcome from a claim that has not ended: the next
// write drops it, so two entries would see different claims.
TEST(claim_shard_test, IgnoresTheOutcomeOfAClaimThatHasNotEnded) {
  for (const std::string state : {"running", "released"}) {
    const auto shard = DecodeShard(R"({"claims":{"1-a":{"state":")" + state +
                                   R"(","token":"1","entry":"1","time_ms":1,)"
                                   R"("outcome":"complete","answer":"1"}}})");
    ASSERT_TRUE(shard.has_value());
    EXPECT_EQ(shard->claims.at("1-a").outcome, ended_outcome());
    EXPECT_EQ(DecodeShard(EncodeShard(*shard)), shard);
  }
}

/// Clock of one process, with a fixed offset from the common time.
class skewed_clock final : public clock {
 public:
  skewed_clock(const clock& base, milliseconds skew)
      : base_(base), skew_(skew) {}
  steady_time Now() const override { return base_.Now(); }
  wall_time WallNow() const override { return base_.WallNow() + skew_; }

 private:
  const clock& base_;
  milliseconds skew_;
};

/// Simulates four entry processes that share one store, and checks each
/// decision against the expected state of its key.
class claim_simulation {
 public:
  enum class key_state { kFree, kHeld, kReleased, kEnded };
  struct key {
    std::string text;
    key_state state = key_state::kFree;
    std::size_t holder = 0;
    bool crashed = false;  ///< A process that tried the key has crashed.
    std::set<std::size_t> tried{};  ///< Processes that tried to claim it.
  };

  explicit claim_simulation(std::uint64_t seed)
      : random(seed), timers(time), backing(timers, time) {
    for (std::size_t i = 0; i < 4; ++i) {
      // Clocks of entries may differ by up to one minute.
      clocks.push_back(std::make_unique<skewed_clock>(
          time, milliseconds(random.Below(60'000)) - std::chrono::seconds(30)));
      ledgers.emplace_back();
      Start(i);
    }
    // Most keys expire, or their claims are removed, during the run.
    for (int i = 0; i < 12; ++i) {
      AddKey(time.WallNow() - minutes(10) + milliseconds(random.Below(90'000)));
    }
  }

  // Puts every key into shard 0, so that each write removes the expired claims.
  void AddKey(wall_time time_of_key) {
    const std::string stem =
        std::to_string(time_of_key.time_since_epoch().count()) + "-key" +
        std::to_string(keys.size());
    request_key made{stem + "-0", time_of_key};
    for (int i = 1; ShardOf(made) != 0; ++i) {
      made.text = stem + "-" + std::to_string(i);
    }
    keys.push_back({made.text});
  }

  void Start(std::size_t process) {
    ledgers[process] = std::make_unique<claim_ledger>(
        backing, timers, *clocks[process], random_source(random()),
        incarnation{random()});
  }

  void Crash(std::size_t process) {
    for (key& item : keys) {
      item.crashed = item.crashed || item.tried.contains(process);
    }
    Start(process);
  }

  void Acquire(std::size_t process, key& item) {
    item.tried.insert(process);
    ledgers[process]->Acquire(
        item.text, 1, [this, process, &item](const claim_decision& decision) {
          last = decision;
          if (decision.what == decision_kind::kGranted) {
            const auto parsed = ParseRequestKey(item.text);
            RC_ASSERT(AgeOf(parsed->time, clocks[process]->WallNow()) ==
                      key_age::kValid);
            RC_ASSERT(item.state == key_state::kFree ||
                      item.state == key_state::kReleased);
            item.state = key_state::kHeld;
            item.holder = process;
          } else if (decision.what == decision_kind::kEnded) {
            RC_ASSERT(item.state == key_state::kEnded);
          }
        });
  }

  void Finish(key& item, bool released) {
    if (item.state != key_state::kHeld) {
      return;
    }
    // The process that was granted the key may have restarted since; its new
    // ledger then reports an error, which is ignored.
    auto on_finished = [](const result<void>&) {};
    if (released) {
      item.state = key_state::kReleased;
      ledgers[item.holder]->Release(item.text, on_finished);
    } else {
      item.state = key_state::kEnded;
      ledgers[item.holder]->End(item.text, {"complete", "[1]"}, on_finished);
    }
  }

  void Step() {
    key& item = keys[random.Below(keys.size())];
    const std::size_t process = random.Below(ledgers.size());
    switch (random.Below(16)) {
      case 0:
        Crash(process);
        break;
      case 1:
        backing.set_down(random.Below(2) == 0);
        break;
      case 2:
        Finish(item, random.Below(2) == 0);
        break;
      case 3:
        timers.RunFor(
            milliseconds(random.Below(random.Below(4) == 0 ? 60'000 : 2'000)));
        break;
      default:
        Acquire(process, item);
        timers.RunFor(milliseconds(random.Below(400)));
        break;
    }
  }

  random_source random;
  manual_clock time;
  manual_scheduler timers;
  memory_store backing;
  std::vector<std::unique_ptr<skewed_clock>> clocks;
  std::vector<std::unique_ptr<claim_ledger>> ledgers;
  std::vector<key> keys;
  claim_decision last;
};

// Guards against running a request twice: a key must not be granted again after
// lost answers, late writes, outages, crashes or the removal of its claim.
RC_GTEST_PROP(claim_property,
              KeyIsGrantedAtMostOnceAndNeverAfterExpiry,
              (std::uint64_t seed)) {
  claim_simulation world(seed);
  world.backing.set_fault_plan(RandomFaults(world.random, 40));
  for (int step = 0; step < 200; ++step) {
    world.Step();
  }
}

// Guards against a stored claim that was granted to no submission and blocks
// its key forever, and against losing the end of a job during an outage.
RC_GTEST_PROP(claim_property,
              StateIsRightOnceTheStoreIsUpAgain,
              (std::uint64_t seed)) {
  claim_simulation world(seed);
  world.keys.clear();
  for (int i = 0; i < 5; ++i) {
    world.AddKey(world.time.WallNow());
  }
  world.backing.set_fault_plan(RandomFaults(world.random, 40));
  for (int step = 0; step < 60; ++step) {
    claim_simulation::key& item = world.keys[world.random.Below(5)];
    if (world.random.Below(4) == 0) {
      world.Finish(item, world.random.Below(2) == 0);
    } else {
      world.Acquire(world.random.Below(4), item);
    }
    world.timers.RunFor(milliseconds(world.random.Below(400)));
  }
  world.backing.set_fault_plan(nullptr);
  world.timers.RunFor(milliseconds(20'000));
  for (claim_simulation::key& item : world.keys) {
    const auto before = item.state;
    const std::size_t holder = item.holder;
    world.Acquire(0, item);
    world.timers.RunFor(milliseconds(1'000));
    const decision_kind held = holder == 0 ? decision_kind::kRunningHere
                                           : decision_kind::kRunningElsewhere;
    const std::array<decision_kind, 4> expected = {
        decision_kind::kGranted, held, decision_kind::kGranted,
        decision_kind::kEnded};
    RC_ASSERT(world.last.what == expected[static_cast<std::size_t>(before)]);
  }
}

class claim_ledger_test : public testing::Test {
 protected:
  claim_decision Acquire(claim_ledger& ledger, std::uint64_t fingerprint = 1) {
    claim_decision answer;
    ledger.Acquire(Key(), fingerprint,
                   [&](const claim_decision& decision) { answer = decision; });
    timers_.RunFor(milliseconds(4000));
    return answer;
  }

  std::string Key() const {
    return std::to_string((time_.WallNow().time_since_epoch() / minutes(10)) *
                          600'000) +
           "-key";
  }

  manual_clock time_;
  manual_scheduler timers_{time_};
  memory_store store_{timers_, time_};
  claim_ledger first_{store_, timers_, time_, random_source(1), incarnation{1}};
  claim_ledger second_{store_, timers_, time_, random_source(2),
                       incarnation{2}};
};

// Guards against answering a job of other content under the same key with the
// outcome of the first job.
TEST_F(claim_ledger_test, RefusesKeyForOtherContent) {
  EXPECT_EQ(Acquire(first_).what, decision_kind::kGranted);
  EXPECT_EQ(Acquire(second_, 2).code, "key_reused");
  EXPECT_EQ(Acquire(second_).what, decision_kind::kRunningElsewhere);
  EXPECT_EQ(Acquire(first_).what, decision_kind::kRunningHere);
}

// Guards against stored answers that make a shard too large for the store, and
// against dropping a small answer.
TEST_F(claim_ledger_test, KeepsSmallAnswersOnly) {
  for (const std::size_t size :
       {kMaxKeptAnswerBytes, kMaxKeptAnswerBytes + 1}) {
    EXPECT_EQ(Acquire(first_).what, decision_kind::kGranted);
    first_.End(Key(), {"complete", std::string(size, 'a')},
               [](const result<void>& done) { EXPECT_TRUE(done); });
    timers_.RunFor(milliseconds(100));
    const claim_decision again = Acquire(second_);
    EXPECT_EQ(again.what, decision_kind::kEnded);
    EXPECT_EQ(again.outcome.answer.has_value(), size == kMaxKeptAnswerBytes);
    timers_.RunFor(minutes(13));
  }
}

// Guards against one write per claim, which would exceed the write rate of the
// store: claims that arrive together share a write.
TEST_F(claim_ledger_test, SharesWrites) {
  int granted = 0;
  for (int i = 0; i < 640; ++i) {
    first_.Acquire(Key() + std::to_string(i), 1, [&](const auto& decision) {
      granted += decision.what == decision_kind::kGranted ? 1 : 0;
    });
  }
  timers_.RunFor(milliseconds(100));
  EXPECT_EQ(granted, 640);
  EXPECT_LE(store_.calls(), 2 * kClaimShards);
}

// Guards against an entry that never exits while the store is down, and against
// one that exits before the ends of its jobs are stored.
TEST_F(claim_ledger_test, StopsWhenStoredOrAtTheLimit) {
  EXPECT_EQ(Acquire(first_).what, decision_kind::kGranted);
  store_.set_down(true);
  first_.End(Key(), {"complete", {}}, [](const auto&) {});
  bool stopped = false;
  first_.Stop(milliseconds(20'000), [&] { stopped = true; });
  timers_.RunFor(milliseconds(5'000));
  EXPECT_FALSE(stopped);
  EXPECT_EQ(Acquire(first_).code, "stopping");
  store_.set_down(false);
  timers_.RunFor(milliseconds(5'000));
  EXPECT_TRUE(stopped);
  EXPECT_EQ(Acquire(second_).what, decision_kind::kEnded);
  store_.set_down(true);
  EXPECT_EQ(Acquire(second_).what, decision_kind::kEnded);
  bool second_stopped = false;
  second_.Stop(milliseconds(1'000), [&] { second_stopped = true; });
  timers_.RunFor(milliseconds(2'000));
  EXPECT_TRUE(second_stopped);
}

}  // namespace
}  // namespace jayrill
