#ifndef JAYRILL_CLAIM_CLAIM_DECISION_H_
#define JAYRILL_CLAIM_CLAIM_DECISION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace jayrill {

/// How a claimed job ended.
struct ended_outcome {
  std::string outcome;  ///< Short, such as `complete` or a failure code.
  /// The answer as the caller got it; nothing when it was too large to keep.
  std::optional<std::string> answer;

  auto operator<=>(const ended_outcome&) const = default;
};

/// Answer to an attempt to claim a request key.
struct claim_decision {
  enum class kind {
    kGranted,           ///< This submission may run the job.
    kRunningHere,       ///< Claimed by this process before.
    kRunningElsewhere,  ///< Claimed by another process, which may have died.
    kEnded,             ///< The job has ended; see outcome.
    kRefused,           ///< Not claimed by this submission; see code.
  };

  kind what = kind::kRefused;
  std::uint64_t token = 0;  ///< When granted.
  ended_outcome outcome;    ///< When ended.
  /// When refused: key_malformed, key_expired, key_in_future, key_reused,
  /// claims_full, store_unavailable or stopping. The submission has not run
  /// and will not.
  std::string code;
  std::string message;
  std::string remedy;

  auto operator<=>(const claim_decision&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_CLAIM_CLAIM_DECISION_H_
