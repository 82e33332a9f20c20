#ifndef JAYRILL_METRICS_DURATION_HISTOGRAM_H_
#define JAYRILL_METRICS_DURATION_HISTOGRAM_H_

#include <atomic>
#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <vector>

namespace jayrill {

/// Distribution of durations on a logarithmic axis from 0.1 ms to 1,000 s with
/// four bins per decade. Thread-safe.
class duration_histogram {
 public:
  /// The number of durations up to an upper bound, as the exposition format
  /// requires.
  struct bucket {
    double upper_bound_seconds = 0;  ///< Infinite for the last bucket.
    std::uint64_t cumulative_count = 0;
  };

  duration_histogram();

  void Observe(std::chrono::nanoseconds duration);

  /// \returns the cumulative buckets; the last one counts all durations.
  std::vector<bucket> Buckets() const;

  double sum_seconds() const;

 private:
  using axis_type =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using storage_type = boost::histogram::dense_storage<
      boost::histogram::accumulators::thread_safe<std::uint64_t>>;

  boost::histogram::histogram<std::tuple<axis_type>, storage_type> bins_;
  std::atomic<std::int64_t> sum_microseconds_{0};
};

}  // namespace jayrill

#endif  // JAYRILL_METRICS_DURATION_HISTOGRAM_H_
