#ifndef JAYRILL_PLACEMENT_SPEED_MODEL_H_
#define JAYRILL_PLACEMENT_SPEED_MODEL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace jayrill {

/// Estimates the run time of each task kind and the slowness of each minion
/// from finished tasks.
///
/// Both are exponentially weighted means of logarithms, so that one outlier has
/// little effect. For a kind that has not run yet, the declared run time of a
/// task is the estimate. After that, the declared time and the mean of the kind
/// are weighted by how well each has predicted so far.
///
/// Not thread-safe.
class speed_model {
 public:
  /// Updates the estimates with a finished task.
  /// \param declared the run time that the caller of the task declared, if any.
  void Learn(std::string_view service,
             std::string_view kind,
             std::uint64_t minion,
             std::chrono::microseconds run_time,
             std::optional<std::chrono::milliseconds> declared = {});

  /// \returns the expected run time of a task on the average minion.
  std::chrono::microseconds ExpectedRunTime(
      std::string_view service,
      std::string_view kind,
      std::optional<std::chrono::milliseconds> declared) const;

  /// \returns true when a task of the kind has finished before.
  bool HasSamples(std::string_view service, std::string_view kind) const {
    return kinds_.contains(kind_key(service, kind));
  }

  /// \returns the run time on \p minion relative to the average minion; 1 for
  /// a minion that has not finished any task.
  double Slowness(std::uint64_t minion) const;

  /// Removes the estimate of a minion that the entry no longer keeps.
  void Forget(std::uint64_t minion) { minions_.erase(minion); }

 private:
  struct estimate {
    double log_value = 0;
    std::uint32_t samples = 0;
  };

  /// Estimates for one kind. Errors are mean squared differences of logarithms
  /// between prediction and run.
  struct kind_estimate {
    estimate run_time;
    estimate declared_ratio;  ///< Run time divided by declared time.
    double run_time_error = 0;
    double declared_error = 0;
  };

  static double LogExpected(const kind_estimate& kind,
                            std::optional<std::chrono::milliseconds> declared);

  using kind_key = std::pair<std::string, std::string>;

  std::map<kind_key, kind_estimate> kinds_;
  std::unordered_map<std::uint64_t, estimate> minions_;
};

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_SPEED_MODEL_H_
