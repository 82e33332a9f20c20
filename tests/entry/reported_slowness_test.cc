#include <gtest/gtest.h>

#include "fake_cluster.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct report_case {
  const char* name;
  std::uint32_t first_percent;   ///< Reported for the first minion.
  std::uint32_t second_percent;  ///< Reported for the second minion.
  bool first_gets_starts;
  bool second_gets_starts;
};

class reported_slowness_test : public testing::TestWithParam<report_case> {};

// Guards against starts on a minion that the runs of other entries have shown
// to be slow, while another one is free.
TEST_P(reported_slowness_test, DecidesWhereTasksRun) {
  fake_cluster cluster;
  cluster_config config;
  config.data_centres["dc1"];
  cluster.ChangeConfig(config);
  fake_agent& first = cluster.AddAgent("dc1");
  fake_agent& second = cluster.AddAgent("dc1");
  first.Connect(cluster.entry);
  second.Connect(cluster.entry);
  cluster.Advance(seconds(1));
  first.status().slowness_percent = GetParam().first_percent;
  second.status().slowness_percent = GetParam().second_percent;
  std::size_t first_starts = 0;
  std::size_t second_starts = 0;
  for (int round = 0; round < 12; ++round) {
    first.Report(cluster.entry, true);
    second.Report(cluster.entry, true);
    cluster.Submit(fake_cluster::Job(1, seconds(5)));
    cluster.entry.Flush();
    first.DeliverBatch();
    second.DeliverBatch();
    first_starts += first.queued_starts();
    second_starts += second.queued_starts();
    for (fake_agent* const agent : {&first, &second}) {
      agent->Execute();
      agent->Finish(task_outcome::kSucceeded);
      agent->Report(cluster.entry, true);
    }
    cluster.Advance(milliseconds(50));
  }
  EXPECT_EQ(first_starts > 0, GetParam().first_gets_starts) << first_starts;
  EXPECT_EQ(second_starts > 0, GetParam().second_gets_starts) << second_starts;
}

INSTANTIATE_TEST_SUITE_P(
    table,
    reported_slowness_test,
    testing::Values(report_case{"not_known", 0, 0, true, true},
                    report_case{"equal", 100, 100, true, true},
                    report_case{"first_is_slow", 600, 100, false, true},
                    report_case{"second_is_slow", 0, 600, true, false},
                    report_case{"too_large_a_value", 100, 4'000'000'000, true,
                                false}),
    [](const auto& row) { return row.param.name; });

}  // namespace
}  // namespace jayrill
