#include "jayrill/agent/run_pace.h"

#include <algorithm>
#include <cmath>

namespace jayrill {

namespace {

/// Weight of a new run, once there are several.
constexpr double kRunWeight = 0.25;

/// Factor between two values of RoundedPercent.
constexpr double kPercentStep = 1.25;

/// Bounds of a reported slowness.
constexpr double kLeastSlowness = 0.1;
constexpr double kMostSlowness = 100;

double LogRatio(std::chrono::microseconds run_time,
                std::chrono::microseconds typical) {
  return std::log(static_cast<double>(run_time.count()) /
                  static_cast<double>(typical.count()));
}

}  // namespace

void run_pace::OnRunEnded(std::chrono::microseconds run_time,
                          std::chrono::microseconds typical,
                          steady_time now) {
  if (run_time.count() <= 0 || typical.count() <= 0) {
    return;
  }
  if (now - last_sample_ > kValidity) {
    samples_ = 0;
    log_ratio_ = 0;
  }
  // The initial ratio of 1 counts as one sample.
  const double weight =
      std::max(kRunWeight, 1.0 / (static_cast<double>(samples_) + 2.0));
  log_ratio_ += weight * (LogRatio(run_time, typical) - log_ratio_);
  ++samples_;
  last_sample_ = now;
}

std::optional<double> run_pace::Slowness(
    steady_time now,
    std::span<const unfinished_run> running) const {
  const bool is_valid = samples_ > 0 && now - last_sample_ <= kValidity;
  double log_ratio = is_valid ? log_ratio_ : 0;
  bool is_known = is_valid;
  for (const unfinished_run& run : running) {
    if (run.elapsed <= run.typical || run.typical.count() <= 0) {
      continue;
    }
    const double least = LogRatio(run.elapsed, run.typical);
    if (least > log_ratio) {
      log_ratio += kRunWeight * (least - log_ratio);
      is_known = true;
    }
  }
  return is_known ? std::optional(std::exp(log_ratio)) : std::nullopt;
}

std::uint32_t RoundedPercent(double slowness) {
  const double bounded = std::clamp(slowness, kLeastSlowness, kMostSlowness);
  const double steps = std::round(std::log(bounded) / std::log(kPercentStep));
  return static_cast<std::uint32_t>(
      std::lround(100 * std::pow(kPercentStep, steps)));
}

}  // namespace jayrill
