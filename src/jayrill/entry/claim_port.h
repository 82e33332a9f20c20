#ifndef JAYRILL_ENTRY_CLAIM_PORT_H_
#define JAYRILL_ENTRY_CLAIM_PORT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "jayrill/claim/claim_decision.h"

namespace jayrill {

/// The interface through which job_api uses the claim ledger. Used on the Qt
/// main thread only. A callback runs on it exactly once, after the call has
/// returned.
class claim_port {
 public:
  using decision_function = std::function<void(const claim_decision&)>;

  virtual ~claim_port() = default;

  /// Claims the request key \p key for a job with the hash \p content_hash.
  virtual void Acquire(const std::string& key,
                       std::uint64_t content_hash,
                       decision_function decided) = 0;

  /// Stores the outcome of the job that holds the claim of \p key.
  virtual void End(const std::string& key, ended_outcome outcome) = 0;

  /// Releases the claim of \p key, whose job has not run and will not run.
  virtual void Release(const std::string& key) = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_CLAIM_PORT_H_
