#ifndef JAYRILL_PLACEMENT_RETRY_BUDGET_H_
#define JAYRILL_PLACEMENT_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace jayrill {

/// Starts of one task, the first one included, before its job is given up.
inline constexpr std::uint32_t kMaxStartsPerTask = 4;

/// The same for a job whose runs may be repeated: its deadline ends it first.
inline constexpr std::uint32_t kMaxStartsOfRepeatable = 16;

/// Limits second starts to a fraction of first starts, so that retries cannot
/// multiply the load while minions refuse work.
class retry_budget {
 public:
  /// Notes a first start.
  void OnFirstStart() {
    tokens_ = std::min(tokens_ + kTokensPerStart, kMaxTokens);
  }

  /// Takes the budget of one retry.
  /// \returns false when the budget is used up.
  bool TryTake() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  static constexpr double kTokensPerStart = 0.1;
  /// Allows the queue of a leaving minion to move at once.
  static constexpr double kMaxTokens = 200.0;

  double tokens_ = kMaxTokens;
};

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_RETRY_BUDGET_H_
