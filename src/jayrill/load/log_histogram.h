#ifndef JAYRILL_LOAD_LOG_HISTOGRAM_H_
#define JAYRILL_LOAD_LOG_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <tuple>

namespace jayrill {

/// Histogram of positive values on a logarithmic axis from 0.01 to 1e7 with
/// bins 0.35 % wide. Values outside are counted in the first or last bin. Not
/// thread-safe.
class log_histogram {
 public:
  log_histogram();

  void Add(double value);

  /// \returns the upper edge of the bin that holds the \p fraction quantile, at
  /// most the maximum; 0 without values. \p fraction is in [0, 1].
  double Quantile(double fraction) const;

  double max() const { return max_; }
  double mean() const;
  std::uint64_t count() const { return count_; }

 private:
  using axis_type =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<axis_type>> bins_;
  double max_ = 0;
  double sum_ = 0;
  std::uint64_t count_ = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_LOAD_LOG_HISTOGRAM_H_
