#include "jayrill/load/log_histogram.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jayrill {
namespace {

constexpr double kLow = 0.01;
constexpr double kHigh = 1e7;
// The axis spans a factor of 1e9, so each bin is ln(1e9) / 6000 = 0.35 % wide.
constexpr unsigned kBins = 6000;

}  // namespace

log_histogram::log_histogram()
    : bins_(boost::histogram::make_histogram(axis_type(kBins, kLow, kHigh))) {}

void log_histogram::Add(double value) {
  // The axis excludes its upper end, so values are clamped to just below it.
  bins_(std::clamp(value, kLow, std::nextafter(kHigh, kLow)));
  max_ = std::max(max_, value);
  sum_ += value;
  ++count_;
}

double log_histogram::Quantile(double fraction) const {
  assert(fraction >= 0 && fraction <= 1 &&
         "the fraction of a quantile must be in [0, 1]");
  if (count_ == 0) {
    return 0;
  }
  const double rank =
      std::max(1.0, std::ceil(fraction * static_cast<double>(count_)));
  double seen = 0;
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    seen += bins_.at(bin);
    if (seen >= rank) {
      return std::min(bins_.axis().bin(bin).upper(), max_);
    }
  }
  return max_;
}

double log_histogram::mean() const {
  return count_ == 0 ? 0 : sum_ / static_cast<double>(count_);
}

}  // namespace jayrill
