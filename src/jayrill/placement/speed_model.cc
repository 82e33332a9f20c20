#include "jayrill/placement/speed_model.h"

#include <algorithm>
#include <cmath>

namespace jayrill {

namespace {

/// Smallest weights of a new sample, used once there are many samples.
constexpr double kKindWeight = 0.05;
constexpr double kMinionWeight = 0.1;

/// Run time assumed for a kind that has not run, when no time is declared: the
/// geometric mean of the usual range of 50 ms to 1 s.
constexpr std::chrono::microseconds kDefaultRunTime{220'000};

/// Bounds of a declared time. Declared times are wrong by a factor of up to
/// ten; the bounds keep an extreme value from distorting the order of the
/// queue.
constexpr std::chrono::microseconds kShortestRunTime{1'000};
constexpr std::chrono::microseconds kLongestRunTime{60'000'000};

/// \returns the weight of the next sample after \p samples samples. The first
/// ones form a plain mean; from 1 / \p weight samples on, the mean is
/// exponentially weighted.
double SampleWeight(std::uint32_t samples, double weight) {
  return std::max(weight, 1.0 / (static_cast<double>(samples) + 1.0));
}

/// Weight of a new sample in the mean squared errors of the predictions.
constexpr double kErrorWeight = 0.05;

/// Number of runs with a declared time that a kind needs before declared times
/// are used to predict it.
constexpr std::uint32_t kMinDeclaredSamples = 5;

double LogMicros(std::chrono::microseconds time) {
  return std::log(
      static_cast<double>(std::max(time, kShortestRunTime).count()));
}

}  // namespace

void speed_model::Learn(std::string_view service,
                        std::string_view kind,
                        std::uint64_t minion,
                        std::chrono::microseconds run_time,
                        std::optional<std::chrono::milliseconds> declared) {
  const double log_time = LogMicros(run_time);
  kind_estimate& kind_estimates = kinds_[kind_key(service, kind)];
  estimate& minion_estimate = minions_[minion];
  const double kind_sample = log_time - minion_estimate.log_value;
  const double kind_error = kind_sample - kind_estimates.run_time.log_value;
  const double weight =
      SampleWeight(kind_estimates.run_time.samples, kKindWeight);
  double expected = kind_estimates.run_time.log_value + weight * kind_error;
  kind_estimates.run_time.log_value = expected;
  kind_estimates.run_time_error +=
      kErrorWeight * (kind_error * kind_error - kind_estimates.run_time_error);
  ++kind_estimates.run_time.samples;
  if (declared) {
    estimate& ratio = kind_estimates.declared_ratio;
    const double error = kind_sample - LogMicros(*declared) - ratio.log_value;
    ratio.log_value += SampleWeight(ratio.samples, kKindWeight) * error;
    kind_estimates.declared_error +=
        kErrorWeight * (error * error - kind_estimates.declared_error);
    ++ratio.samples;
    expected = LogExpected(kind_estimates, declared);
  }
  const double minion_sample = log_time - expected;
  // The initial slowness of 1 counts as one sample.
  minion_estimate.log_value +=
      SampleWeight(minion_estimate.samples + 1, kMinionWeight) *
      (minion_sample - minion_estimate.log_value);
  ++minion_estimate.samples;
}

double speed_model::LogExpected(
    const kind_estimate& kind,
    std::optional<std::chrono::milliseconds> declared) {
  const double log_mean = kind.run_time.log_value;
  if (!declared || kind.declared_ratio.samples < kMinDeclaredSamples) {
    return log_mean;
  }
  const double log_from_declared =
      LogMicros(*declared) + kind.declared_ratio.log_value;
  const double error_sum = kind.run_time_error + kind.declared_error;
  const double declared_weight =
      error_sum > 0 ? kind.run_time_error / error_sum : 0;
  return log_mean + declared_weight * (log_from_declared - log_mean);
}

std::chrono::microseconds speed_model::ExpectedRunTime(
    std::string_view service,
    std::string_view kind,
    std::optional<std::chrono::milliseconds> declared) const {
  const auto found = kinds_.find(kind_key(service, kind));
  if (found != kinds_.end()) {
    return std::chrono::microseconds(
        std::llround(std::exp(LogExpected(found->second, declared))));
  }
  if (declared) {
    return std::clamp<std::chrono::microseconds>(*declared, kShortestRunTime,
                                                 kLongestRunTime);
  }
  return kDefaultRunTime;
}

double speed_model::Slowness(std::uint64_t minion) const {
  const auto found = minions_.find(minion);
  return found == minions_.end() ? 1.0 : std::exp(found->second.log_value);
}

}  // namespace jayrill
