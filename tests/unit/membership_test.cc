#include "jayrill/membership.h"

#include <gtest/gtest.h>

#include <cstddef>
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

struct odd_record {
  std::string name;
  std::string field;  ///< As written by EncodeEntryRecord.
  std::string replacement;
};

class odd_record_test : public testing::TestWithParam<odd_record> {};

std::string Nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

std::string TextOfOddRecord(const odd_record& odd) {
  std::string text = EncodeEntryRecord(Record("2", 5));
  const std::size_t position = text.find(odd.field);
  EXPECT_NE(position, std::string::npos) << text;
  return text.replace(position, odd.field.size(), odd.replacement);
}

// Guards against a record of another writer that ends the process or that names
// an entry to which agents cannot connect.
TEST_P(odd_record_test, NamesNoEntry) {
  EXPECT_FALSE(DecodeEntryRecord(TextOfOddRecord(GetParam())).has_value());
}

constexpr char kRpcAddress[] = R"("127.0.0.1:2")";
constexpr char kDemand[] = R"({"tasks":5})";

INSTANTIATE_TEST_SUITE_P(
    all,
    odd_record_test,
    testing::Values(
        odd_record{"port_above_65535", kRpcAddress, R"("127.0.0.1:65536")"},
        odd_record{"port_above_64_bits", kRpcAddress,
                   R"("127.0.0.1:99999999999999999999")"},
        odd_record{"port_negative", kRpcAddress, R"("127.0.0.1:-1")"},
        odd_record{"port_zero", kRpcAddress, R"("127.0.0.1:0")"},
        odd_record{"no_port", kRpcAddress, R"("127.0.0.1")"},
        odd_record{"address_empty", kRpcAddress, R"("")"},
        odd_record{"address_of_a_name", kRpcAddress, R"("nowhere.example:2")"},
        odd_record{"address_of_a_file", kRpcAddress, R"("unix:/tmp/x")"},
        odd_record{"address_wildcard", kRpcAddress, R"("0.0.0.0:2")"},
        odd_record{"address_with_nul", kRpcAddress, R"("127.0.0.1\u0000:2")"},
        odd_record{"address_very_long", kRpcAddress,
                   '"' + std::string(1 << 20U, '1') + ":2\""},
        odd_record{"address_a_number", kRpcAddress, "7"},
        odd_record{"invalid_utf8", kRpcAddress, "\"\xff\xfe:2\""},
        odd_record{"id_empty", R"("id":"2")", R"("id":"")"},
        odd_record{"id_an_object", R"("id":"2")", R"("id":{})"},
        odd_record{"process_not_hex", R"("process":"0)", R"("process":"x)"},
        odd_record{"number_2_to_32", R"("cpu_millis":250)",
                   R"("cpu_millis":4294967296)"},
        odd_record{"number_2_to_63", R"("revision":3)",
                   R"("revision":9223372036854775808)"},
        odd_record{"number_2_to_64", R"("revision":3)",
                   R"("revision":18446744073709551616)"},
        odd_record{"number_1e308", R"("revision":3)", R"("revision":1e308)"},
        odd_record{"number_1e999", R"("revision":3)", R"("revision":1e999)"},
        odd_record{"number_negative", R"("agents":2)", R"("agents":-1)"},
        odd_record{"number_fraction", R"("agents":2)", R"("agents":0.5)"},
        odd_record{"not_a_number", R"("agents":2)", R"("agents":NaN)"},
        odd_record{"demand_nested", kDemand, Nested(10)},
        odd_record{"nested_500", kDemand, Nested(500)},
        odd_record{"nested_2000", kDemand, Nested(2000)},
        odd_record{"nested_100000", kDemand, Nested(100'000)},
        odd_record{"objects_nested_2000", kDemand,
                   [] {
                     std::string text;
                     for (int i = 0; i < 2000; ++i) {
                       text += R"({"a":)";
                     }
                     return text;
                   }()},
        odd_record{"whole_nested", "{", Nested(100'000) + "{"},
        odd_record{"nul", "{", std::string(1, '\0') + "{"}),
    [](const auto& param) { return param.param.name; });

// Guards against a number that becomes another one where nesting or size is
// still allowed, and against an unknown field that makes a record unreadable.
TEST(entry_record_test, ToleratesUnknownFields) {
  std::string text = EncodeEntryRecord(Record("2", 5));
  text.insert(1, R"("unknown":)" + Nested(500) + R"(,"large":1e308,)");
  EXPECT_EQ(DecodeEntryRecord(text), Record("2", 5));
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

// Guards against an odd record of another writer that hides the records after
// it, replaces a known one, or counts as a further entry.
TEST_F(membership_test, HoldsBesideOddRecords) {
  const auto put = [this](const std::string& id, const std::string& text) {
    bool stored = false;
    store_.CompareAndSwap(kEntriesPrefix + id, {}, text, std::nullopt,
                          [&](const result<swap_result>& swap) {
                            stored = swap && swap->swapped;
                          });
    timers_.RunFor(seconds(1));
    EXPECT_TRUE(stored) << id;
  };
  put("0", Nested(100'000));
  put("1-odd", TextOfOddRecord({"", kRpcAddress, R"("127.0.0.1:70000")"}));
  put("1-other", EncodeEntryRecord(Record("1", 9)));
  put("", EncodeEntryRecord(Record("2", 9)));
  put("4", "\xff");
  Start(first_, "1", 1);
  Start(second_, "2", 3);
  timers_.RunFor(seconds(10));
  put("5", TextOfOddRecord({"", R"("agents":2)", R"("agents":1e308)"}));
  put("6", EncodeEntryRecord(Record("1", 9)));
  second_.member->Update(Record("2", 8));
  timers_.RunFor(membership::kRecordInterval + seconds(1));
  for (const process* seen : {&first_, &second_}) {
    ASSERT_EQ(seen->view.size(), 2U);
    EXPECT_EQ(seen->view[0], Record("1", 1));
    EXPECT_EQ(seen->view[1], Record("2", 8));
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
