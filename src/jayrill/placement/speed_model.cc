#include "jayrill/placement/speed_model.h"

#include <algorithm>
#include <cmath>

namespace jayrill {

namespace {

/// Weight of a new sample once enough were seen.
constexpr double kKindWeight = 0.05;
constexpr double kMinionWeight = 0.1;

/// Run time assumed for a kind that has neither run nor a declared time: the
/// middle of the usual 50 ms to 1 s on a logarithmic scale.
constexpr std::chrono::microseconds kDefaultRunTime{220'000};

/// Declared times are wrong by up to ten times; bounds keep an absurd one from
/// distorting the order of the queue.
constexpr std::chrono::microseconds kShortestRunTime{1'000};
constexpr std::chrono::microseconds kLongestRunTime{60'000'000};

/// \returns the weight of the next sample: the plain mean first, then the
/// exponential one.
double SampleWeight(std::uint32_t samples, double weight) {
  return std::max(weight, 1.0 / (static_cast<double>(samples) + 1.0));
}

/// Weight of a new sample in the errors of the predictions.
constexpr double kErrorWeight = 0.05;

/// Runs of a kind with a declared time before such times are believed.
constexpr std::uint32_t kFewSamples = 5;

double LogOf(std::chrono::microseconds time) {
  return std::log(
      static_cast<double>(std::max(time, kShortestRunTime).count()));
}

}  // namespace

void speed_model::Learn(std::string_view service,
                        std::string_view kind,
                        std::uint64_t minion,
                        std::chrono::microseconds run_time,
                        std::optional<std::chrono::milliseconds> declared) {
  const double log_time = LogOf(run_time);
  kind_estimate& of_kind = kinds_[kind_key(service, kind)];
  estimate& of_minion = minions_[minion];
  const double kind_sample = log_time - of_minion.log_value;
  const double kind_error = kind_sample - of_kind.run_time.log_value;
  const double weight = SampleWeight(of_kind.run_time.samples, kKindWeight);
  double expected = of_kind.run_time.log_value + weight * kind_error;
  of_kind.run_time.log_value = expected;
  of_kind.run_time_error +=
      kErrorWeight * (kind_error * kind_error - of_kind.run_time_error);
  ++of_kind.run_time.samples;
  if (declared) {
    estimate& ratio = of_kind.declared_ratio;
    const double error = kind_sample - LogOf(*declared) - ratio.log_value;
    ratio.log_value += SampleWeight(ratio.samples, kKindWeight) * error;
    of_kind.declared_error +=
        kErrorWeight * (error * error - of_kind.declared_error);
    ++ratio.samples;
    expected = LogExpected(of_kind, declared);
  }
  const double minion_sample = log_time - expected;
  of_minion.log_value += SampleWeight(of_minion.samples + 1, kMinionWeight) *
                         (minion_sample - of_minion.log_value);
  ++of_minion.samples;
}

double speed_model::LogExpected(
    const kind_estimate& kind,
    std::optional<std::chrono::milliseconds> declared) {
  const double mean = kind.run_time.log_value;
  if (!declared || kind.declared_ratio.samples < kFewSamples) {
    return mean;
  }
  const double by_declared = LogOf(*declared) + kind.declared_ratio.log_value;
  const double sum = kind.run_time_error + kind.declared_error;
  const double trust = sum > 0 ? kind.run_time_error / sum : 0;
  return mean + trust * (by_declared - mean);
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
