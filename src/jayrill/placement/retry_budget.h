#ifndef JAYRILL_PLACEMENT_RETRY_BUDGET_H_
#define JAYRILL_PLACEMENT_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace jayrill {

/// Largest number of starts of one task, including the first, before its job
/// fails.
inline constexpr std::uint32_t kMaxStartsPerTask = 4;

/// Largest number of starts of one task of a repeatable job. Higher than
/// kMaxStartsPerTask because the deadline of the job is expected to end it
/// first.
inline constexpr std::uint32_t kMaxStartsPerRepeatableTask = 16;

/// Token bucket that limits retries to a fraction of the first starts, so that
/// retries cannot multiply the load while minions refuse tasks. Not
/// thread-safe.
class retry_budget {
 public:
  /// Adds the budget that the first start of a task earns.
  void OnFirstStart() {
    tokens_ = std::min(tokens_ + kTokensPerStart, kMaxTokens);
  }

  /// Takes the budget for one retry.
  /// \returns false when the budget does not allow a retry.
  bool TryTake() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  static constexpr double kTokensPerStart = 0.1;
  /// Large enough to send the queue of a leaving minion to other minions
  /// immediately.
  static constexpr double kMaxTokens = 200.0;

  double tokens_ = kMaxTokens;
};

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_RETRY_BUDGET_H_
