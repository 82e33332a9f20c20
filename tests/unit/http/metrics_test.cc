#include "jayrill/metrics.h"

#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

namespace jayrill {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

// Guards against output that metric collectors cannot parse: a wrong TYPE,
// labels that are not escaped, buckets that are not cumulative.
TEST(metrics_test, ExposesTextFormat) {
  metric_registry registry;
  registry.Counter("jayrill_a_total", "Help.", {{"x", "q\"\\\n"}}).Add(3);
  registry.Gauge("jayrill_b", "Gauge.").Set(-2);
  duration_histogram& times = registry.Histogram("jayrill_c_seconds", "Times.");
  times.Observe(microseconds(0));
  times.Observe(microseconds(1500));
  times.Observe(seconds(5000));
  registry.OnCollect(
      [](metric_registry& all) { all.Gauge("jayrill_d", "Late.").Set(7); });
  const std::string text = registry.Expose();
  for (const char* const part :
       {"# HELP jayrill_a_total Help.\n# TYPE jayrill_a_total counter\n"
        "jayrill_a_total{x=\"q\\\"\\\\\\n\"} 3\n",
        "# TYPE jayrill_b gauge\njayrill_b -2\n",
        "# TYPE jayrill_c_seconds histogram\n"
        "jayrill_c_seconds_bucket{le=\"0.0001\"} 1\n",
        "jayrill_c_seconds_bucket{le=\"0.001\"} 1\n",
        "jayrill_c_seconds_bucket{le=\"0.00177828\"} 2\n",
        "jayrill_c_seconds_bucket{le=\"1000\"} 2\n"
        "jayrill_c_seconds_bucket{le=\"+Inf\"} 3\n"
        "jayrill_c_seconds_sum 5000\njayrill_c_seconds_count 3\n",
        "jayrill_d 7\n"}) {
    EXPECT_NE(text.find(part), std::string::npos) << part << "\nin\n" << text;
  }
}

// Guards against unbounded memory use through label values that clients choose.
TEST(metrics_test, BoundsTheSeriesOfAName) {
  metric_registry registry;
  for (std::size_t i = 0; i < 2 * metric_registry::kMaxSeries; ++i) {
    registry.Counter("jayrill_x_total", "X.", {{"name", std::to_string(i)}})
        .Add();
  }
  EXPECT_EQ(
      registry.Counter("jayrill_x_total", "X.", {{"name", "other"}}).value(),
      metric_registry::kMaxSeries);
}

// Guards against lost updates when several threads update a metric.
TEST(metrics_test, CountsFromSeveralThreads) {
  metric_registry registry;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&registry] {
      for (int i = 0; i < 1000; ++i) {
        registry.Counter("jayrill_n_total", "N.").Add();
        registry.Histogram("jayrill_t_seconds", "T.").Observe(microseconds(i));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(registry.Counter("jayrill_n_total", "N.").value(), 4000U);
  EXPECT_EQ(registry.Histogram("jayrill_t_seconds", "T.")
                .Buckets()
                .back()
                .cumulative_count,
            4000U);
}

}  // namespace
}  // namespace jayrill
