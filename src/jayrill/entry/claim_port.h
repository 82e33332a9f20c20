#ifndef JAYRILL_ENTRY_CLAIM_PORT_H_
#define JAYRILL_ENTRY_CLAIM_PORT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "jayrill/base/error.h"
#include "jayrill/job/job_outcome.h"

namespace jayrill {

/// Answer to the attempt to claim a request key.
struct claim_answer {
  enum class state {
    kGranted,           ///< The claim is durable: the job may run.
    kRunningHere,       ///< A claim of this entry; its end is not yet written.
    kRunningElsewhere,  ///< Claimed by another entry, alive or not.
    kEnded,
    kKeyReused,  ///< Claimed for a job with another content.
  };

  state claim = state::kRunningElsewhere;
  /// Of an ended claim: "complete" or the name of the job's effect.
  std::string ended_as;
  /// Of an ended claim, when its outcome is kept.
  std::optional<job_outcome> outcome;
};

/// What job_api needs of the claim ledger. Belongs to the Qt thread; callbacks
/// run on it later, exactly once.
class claim_port {
 public:
  using acquire_callback = std::function<void(result<claim_answer>)>;

  virtual ~claim_port() = default;

  /// Claims \p key for a job with the hash \p content. An error means that the
  /// claim is not and will not be held by this call, except one of kind
  /// kUnknownOutcome.
  virtual void Acquire(const std::string& key,
                       std::uint64_t content,
                       acquire_callback done) = 0;

  /// Records the outcome of a job that holds the claim of \p key.
  virtual void End(const std::string& key, const job_outcome& outcome) = 0;

  /// Gives up the claim of \p key, whose job has not run.
  virtual void Release(const std::string& key) = 0;

  /// Calls \p done when everything given to End and Release is written, or
  /// cannot be written within a short time.
  virtual void Flush(std::function<void()> done) = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_CLAIM_PORT_H_
