#include "jayrill/load/ratio_histogram.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jayrill {
namespace {

constexpr double kLow = 0.01;
constexpr double kHigh = 1e7;
// ln(1e9) / 6000 = 0.35 % a bin.
constexpr unsigned kBins = 6000;

}  // namespace

ratio_histogram::ratio_histogram()
    : bins_(boost::histogram::make_histogram(axis_type(kBins, kLow, kHigh))) {}

void ratio_histogram::Add(double value) {
  // The smallest value that is still below the end of the axis.
  bins_(std::clamp(value, kLow, std::nextafter(kHigh, kLow)));
  max_ = std::max(max_, value);
  sum_ += value;
  ++count_;
}

double ratio_histogram::Quantile(double share) const {
  assert(share >= 0 && share <= 1 && "a quantile is a share");
  if (count_ == 0) {
    return 0;
  }
  const double rank =
      std::max(1.0, std::ceil(share * static_cast<double>(count_)));
  double seen = 0;
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    seen += bins_.at(bin);
    if (seen >= rank) {
      return std::min(bins_.axis().bin(bin).upper(), max_);
    }
  }
  return max_;
}

double ratio_histogram::mean() const {
  return count_ == 0 ? 0 : sum_ / static_cast<double>(count_);
}

}  // namespace jayrill
