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

/// Learns the run time of each task kind and the slowness of each minion from
/// finished tasks.
///
/// Both are exponentially weighted means of logarithms, so that one straggler
/// does not move them far. A declared time serves alone until its kind has run;
/// then it counts as much as it has proved right, compared with the mean of the
/// kind.
class speed_model {
 public:
  /// Adds a finished task.
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

  /// \returns true when a task of the kind has finished.
  bool Knows(std::string_view service, std::string_view kind) const {
    return kinds_.contains(kind_key(service, kind));
  }

  /// \returns the run time on \p minion relative to the average minion; 1 for
  /// a minion that has not run anything yet.
  double Slowness(std::uint64_t minion) const;

  /// Forgets a minion that was replaced.
  void Forget(std::uint64_t minion) { minions_.erase(minion); }

 private:
  struct estimate {
    double log_value = 0;
    std::uint32_t samples = 0;
  };

  /// What is known of a kind. Errors are squares of differences of logarithms.
  struct kind_estimate {
    estimate run_time;
    estimate declared_ratio;  ///< Run time over declared time.
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
