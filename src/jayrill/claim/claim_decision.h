#ifndef JAYRILL_CLAIM_CLAIM_DECISION_H_
#define JAYRILL_CLAIM_CLAIM_DECISION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace jayrill {

/// Outcome of a claimed job, kept for resubmissions of its request.
struct ended_outcome {
  std::string outcome;  ///< `complete`, or the code of the failure.
  /// The answer that was sent to the client; nothing when it was too large to
  /// store.
  std::optional<std::string> answer;

  auto operator<=>(const ended_outcome&) const = default;
};

/// Answer to an attempt to claim a request key.
struct claim_decision {
  enum class kind {
    kGranted,      ///< This submission holds the claim and may run the job.
    kRunningHere,  ///< An earlier submission to this process holds it.
    kRunningElsewhere,  ///< Another process holds it and may have crashed.
    kEnded,             ///< The job has ended; `outcome` tells how.
    kRefused,           ///< No claim was made; `code` tells why.
  };

  kind what = kind::kRefused;
  std::uint64_t token = 0;  ///< Of the claim; set for kGranted.
  ended_outcome outcome;    ///< Set for kEnded.
  /// Set for kRefused: key_malformed, key_expired, key_in_future, key_reused,
  /// claims_full, store_unavailable or stopping. The submission has not run
  /// and will not run.
  std::string code;
  std::string message;
  std::string remedy;

  auto operator<=>(const claim_decision&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_CLAIM_CLAIM_DECISION_H_
