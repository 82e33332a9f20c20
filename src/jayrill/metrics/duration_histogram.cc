#include "jayrill/metrics/duration_histogram.h"

#include <algorithm>
#include <limits>

namespace jayrill {
namespace {

constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e3;
constexpr int kBins = 28;  // Four for each of seven decades.

}  // namespace

duration_histogram::duration_histogram()
    : bins_(std::make_tuple(axis_type(kBins, kLowestSeconds, kHighestSeconds)),
            storage_type()) {}

void duration_histogram::Observe(std::chrono::nanoseconds duration) {
  duration = std::max(duration, std::chrono::nanoseconds(0));
  bins_(std::chrono::duration<double>(duration).count());
  sum_microseconds_.fetch_add(
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count(),
      std::memory_order_relaxed);
}

std::vector<duration_histogram::bucket> duration_histogram::Buckets() const {
  std::vector<bucket> buckets;
  std::uint64_t total = 0;
  // Bin -1 is the underflow, which belongs to the first bucket. It also counts
  // durations of 0, whose logarithm is minus infinity.
  for (int i = -1; i < kBins; ++i) {
    total += bins_.at(i).load();
    buckets.push_back({bins_.axis(0).value(i + 1), total});
  }
  total += bins_.at(kBins).load();
  buckets.push_back({std::numeric_limits<double>::infinity(), total});
  return buckets;
}

double duration_histogram::sum_seconds() const {
  return static_cast<double>(
             sum_microseconds_.load(std::memory_order_relaxed)) /
         1e6;
}

}  // namespace jayrill
