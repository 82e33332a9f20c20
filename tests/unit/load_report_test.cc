#include <gtest/gtest.h>

#include <QJsonDocument>
#include <QJsonObject>

#include "jayrill/load.h"

namespace jayrill {
namespace {

using namespace std::chrono_literals;

job_sample Sample(const char* team,
                  std::chrono::milliseconds latency,
                  const char* effect = "") {
  job_sample sample;
  sample.team = team;
  sample.tasks = 4;
  sample.ideal = 100ms;
  sample.latency = latency;
  sample.deadline = 500ms;
  sample.completed = *effect == '\0';
  sample.effect = effect;
  sample.code = "c";
  return sample;
}

load_report MakeReport() {
  load_report report;
  for (int i = 0; i < 6; ++i) {
    report.OnJobSent(i == 5 ? 25ms : 1ms);
  }
  report.OnJobEnded(Sample("a", 200ms));
  report.OnJobEnded(Sample("a", 200ms));
  report.OnJobEnded(Sample("b", 600ms));
  report.OnJobEnded(Sample("b", 1ms, "not_run"));
  report.OnJobEnded(Sample("b", 1ms, "may_have_run"));
  report.OnJobEnded(Sample("b", 1ms, "no_answer"));
  report.SetElapsed(2s);
  report.SetMessages({240.0, 6.0, 12.0});
  return report;
}

// Guards against totals and rates that do not match the reported jobs.
TEST(load_report_test, AddsUp) {
  const load_report report = MakeReport();
  EXPECT_EQ(report.sent(), 6U);
  EXPECT_EQ(report.late_sends(), 1U);
  EXPECT_EQ(report.max_lateness(), 25ms);
  EXPECT_EQ(report.completed(), 3U);
  EXPECT_EQ(report.completed_by_deadline(), 2U);
  EXPECT_EQ(report.refused(), 1U);
  EXPECT_EQ(report.failed(), 2U);
  EXPECT_EQ(report.failures().at("may_have_run/c"), 1U);
  EXPECT_EQ(report.tasks_completed(), 12U);
  EXPECT_DOUBLE_EQ(report.TaskRate(), 6.0);
  // Mean slowdowns 2 and 6: (2 + 6)^2 / (2 * (4 + 36)).
  EXPECT_DOUBLE_EQ(report.Fairness(), 0.8);
  EXPECT_DOUBLE_EQ(report.slowdowns().max(), 6.0);
  EXPECT_NEAR(report.slowdowns().Quantile(0.5), 2.0, 0.01);
  const QJsonObject json =
      QJsonDocument::fromJson(QByteArray::fromStdString(EncodeReport(report)))
          .object();
  EXPECT_EQ(json.value(QLatin1String("jobs_whole")).toInt(), 3);
  EXPECT_DOUBLE_EQ(json.value(QLatin1String("messages_per_task")).toDouble(),
                   20.0);
  EXPECT_DOUBLE_EQ(json.value(QLatin1String("wasted_share")).toDouble(), 0.025);
  EXPECT_NE(FormatReport(report).find("wasted 2.50 %"), std::string::npos);
}

// Guards against a division by zero in a run without answers or metrics.
TEST(load_report_test, ToleratesAnEmptyRun) {
  const load_report report;
  EXPECT_DOUBLE_EQ(report.Fairness(), 1.0);
  EXPECT_DOUBLE_EQ(report.TaskRate(), 0.0);
  EXPECT_NE(FormatReport(report).find("not known"), std::string::npos);
  EXPECT_NE(EncodeReport(report).find("\"messages_per_task\":null"),
            std::string::npos);
}

// Guards against quantiles that are wrong by more than the width of a bin.
TEST(log_histogram_test, QuantilesAreWithinABin) {
  log_histogram histogram;
  EXPECT_DOUBLE_EQ(histogram.Quantile(0.5), 0);
  for (int i = 1; i <= 1000; ++i) {
    histogram.Add(i);
  }
  for (const double share : {0.01, 0.5, 0.9, 0.99}) {
    EXPECT_NEAR(histogram.Quantile(share) / (share * 1000), 1.0, 0.0036);
  }
  EXPECT_DOUBLE_EQ(histogram.Quantile(1.0), 1000);
  histogram.Add(0);
  histogram.Add(1e9);
  EXPECT_DOUBLE_EQ(histogram.max(), 1e9);
  EXPECT_EQ(histogram.count(), 1002U);
}

// Guards against totals that include counters with a longer name or mix values
// from before and after a restart of a process.
TEST(metric_totals_test, AddsSeriesAndToleratesAbsence) {
  const metric_totals before = ReadTotals(
      "# TYPE jayrill_messages_total counter\n"
      "jayrill_messages_total{kind=\"a } b\"} 3\n"
      "jayrill_messages_total{kind=\"c\"} 4 1700000000\n"
      "jayrill_messages_total_created 9\n"
      "jayrill_wasted_messages_total 5");
  EXPECT_EQ(before, (metric_totals{7, 5, std::nullopt}));
  EXPECT_EQ(Growth(before, {10, 4, 2}),
            (metric_totals{3, std::nullopt, std::nullopt}));
  EXPECT_EQ(Sum({1, 2, 3}, before), (metric_totals{8, 7, std::nullopt}));
}

struct answer_case {
  int status;
  const char* body;
  job_answer_summary expected;
};

class job_answer_test : public testing::TestWithParam<answer_case> {};

// Guards against an incomplete answer that counts as complete.
TEST_P(job_answer_test, CountsWholeAnswersOnly) {
  EXPECT_EQ(ReadJobAnswer(GetParam().status, GetParam().body, 2),
            GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    job_answer_test,
    testing::Values(answer_case{200,
                                R"({"outcome":"complete","results":[1,2]})",
                                {true, "", ""}},
                    answer_case{200,
                                R"({"outcome":"complete","results":[1]})",
                                {false, "no_answer", "http_200"}},
                    answer_case{200,
                                R"({"outcome":"comp)",
                                {false, "no_answer", "http_200"}},
                    answer_case{
                        503,
                        R"({"error":{"effect":"not_run","code":"drain"}})",
                        {false, "not_run", "drain"}},
                    answer_case{502, "", {false, "no_answer", "http_502"}},
                    answer_case{0, "", {false, "no_answer", "http_0"}}));

}  // namespace
}  // namespace jayrill
