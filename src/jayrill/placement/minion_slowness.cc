#include "jayrill/placement/minion_slowness.h"

#include <chrono>
#include <cmath>

namespace jayrill {

namespace {

/// Time in which the weight of a slowness falls to 1/e.
constexpr std::chrono::seconds kSlownessDecayTime{10};

/// The slowness that the agent reports is used in place of the learned one when
/// they differ by more than this factor. The learned one fits better to the
/// learned run times of kinds; the reported one is based on the runs of all
/// entries and follows a change earlier.
constexpr double kContradictingSlowness = 1.4;

/// \returns the value of \p sample at \p now, decayed towards 1.
double Decayed(const slowness_sample& sample, steady_time now) {
  const std::chrono::duration<double> age = now - sample.found_at;
  const std::chrono::duration<double> decay_time = kSlownessDecayTime;
  return std::pow(sample.value, std::exp(-age / decay_time));
}

}  // namespace

double AssumedSlowness(const slowness_sample& learned,
                       const std::optional<slowness_sample>& reported,
                       steady_time now) {
  const double own = Decayed(learned, now);
  if (!reported) {
    return own;
  }
  const double from_agent = Decayed(*reported, now);
  const double ratio = from_agent / own;
  const bool is_contradicted =
      ratio > kContradictingSlowness || ratio * kContradictingSlowness < 1;
  return is_contradicted ? from_agent : own;
}

}  // namespace jayrill
