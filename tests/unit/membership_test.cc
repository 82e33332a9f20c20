#include "jayrill/membership.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "jayrill/base.h"
#include "jayrill/store.h"
#include "manual_scheduler.h"
#include "random_faults.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

entry_record Record(const std::string& id, std::uint32_t demand) {
  return {id,
          incarnation{1},
          "127.0.0.1:" + id,
          "127.0.0.1:9" + id,
          "east",
          250,
          config_revision{3},
          2,
          1,
          {"agent-7"},
          {{"x", demand}}};
}

// Guards against a field that the codec loses.
TEST(entry_record_test, CodecKeepsEveryField) {
  const entry_record record = Record("1", 5);
  EXPECT_EQ(DecodeEntryRecord(EncodeEntryRecord(record)), record);
  EXPECT_FALSE(DecodeEntryRecord("{}").has_value());
}

struct share_case {
  std::vector<std::uint32_t> demand;
  std::vector<double> shares;
};

class team_shares_test : public testing::TestWithParam<share_case> {};

// Guards against shares that add up to more than the quota, and against an
// entry without a share, which could never start a task.
TEST_P(team_shares_test, FollowDemandAboveTheFloor) {
  std::vector<entry_record> entries;
  for (std::size_t i = 0; i < GetParam().demand.size(); ++i) {
    entries.push_back(Record(std::to_string(i), GetParam().demand[i]));
  }
  double sum = 0;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const auto shares = TeamShares(entries, std::to_string(i), {"idle"});
    EXPECT_DOUBLE_EQ(shares.at("x"), GetParam().shares[i]);
    EXPECT_DOUBLE_EQ(shares.at("idle"),
                     1.0 / static_cast<double>(entries.size()));
    sum += shares.at("x");
  }
  EXPECT_DOUBLE_EQ(sum, 1.0);
}

INSTANTIATE_TEST_SUITE_P(all,
                         team_shares_test,
                         testing::Values(share_case{{0}, {1.0}},
                                         share_case{{7}, {1.0}},
                                         share_case{{0, 0}, {0.5, 0.5}},
                                         share_case{{1, 3}, {0.3125, 0.6875}},
                                         share_case{{0, 9, 0, 0},
                                                    {0.0625, 0.8125, 0.0625,
                                                     0.0625}}));

class membership_test : public testing::Test {
 protected:
  struct process {
    std::vector<entry_record> view;
    std::unique_ptr<membership> member;
  };

  void Start(process& started, const std::string& id, std::uint32_t demand) {
    started.member = std::make_unique<membership>(
        store_, timers_, time_, Record(id, demand),
        [&started](const std::vector<entry_record>& view) {
          started.view = view;
        });
  }

  manual_clock time_;
  manual_scheduler timers_{time_};
  memory_store store_{timers_, time_};
  process first_;
  process second_;
};

// Guards against an entry that stays listed after it has ended, or that is not
// listed while it runs: agents would dial the former and not know the latter.
TEST_F(membership_test, ListsTheLivingOnly) {
  Start(first_, "1", 1);
  Start(second_, "2", 3);
  timers_.RunFor(seconds(30));
  EXPECT_EQ(first_.view.size(), 2U);
  EXPECT_EQ(first_.member->RpcAddresses().at(1), "127.0.0.1:2");
  second_.member->Update(Record("2", 8));
  timers_.RunFor(membership::kRecordInterval + seconds(1));
  EXPECT_EQ(first_.view.at(1).team_demand.at("x"), 8U);
  second_.member.reset();
  timers_.RunFor(membership::kLeaseTtl + membership::kRemovalDelay +
                 seconds(1));
  EXPECT_EQ(first_.view.size(), 1U);
  Start(second_, "2", 3);
  timers_.RunFor(seconds(1));
  EXPECT_EQ(first_.view.size(), 2U);
  bool left = false;
  second_.member->Leave([&] { left = true; });
  timers_.RunFor(membership::kRemovalDelay + seconds(1));
  EXPECT_TRUE(left);
  EXPECT_EQ(first_.view.size(), 1U);
}

// Guards against an entry that takes the whole quota of a team because the
// leases of the others expired while the store was down.
TEST_F(membership_test, KeepsTheViewOverAnOutage) {
  Start(first_, "1", 1);
  Start(second_, "2", 3);
  timers_.RunFor(seconds(10));
  store_.set_down(true);
  for (int i = 0; i < 60; ++i) {
    timers_.RunFor(seconds(1));
    ASSERT_EQ(first_.view.size(), 2U);
  }
  store_.set_down(false);
  for (int i = 0; i < 300; ++i) {
    timers_.RunFor(milliseconds(100));
    ASSERT_EQ(first_.view.size(), 2U);
    ASSERT_EQ(second_.view.size(), 2U);
  }
}

// Guards against an entry that never registers because answers of the store
// were lost.
TEST_F(membership_test, RegistersDespiteLostAnswers) {
  random_source random(7);
  store_.set_fault_plan(RandomFaults(random, 40));
  Start(first_, "1", 1);
  Start(second_, "2", 3);
  timers_.RunFor(seconds(120));
  store_.set_fault_plan(nullptr);
  timers_.RunFor(seconds(20));
  EXPECT_TRUE(first_.member->is_registered());
  EXPECT_EQ(second_.view.size(), 2U);
}

}  // namespace
}  // namespace jayrill
