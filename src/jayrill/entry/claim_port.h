#ifndef JAYRILL_ENTRY_CLAIM_PORT_H_
#define JAYRILL_ENTRY_CLAIM_PORT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "jayrill/claim/claim_decision.h"

namespace jayrill {

/// What job_api needs of the claim ledger. Belongs to the Qt thread; the
/// callback runs on it later, exactly once.
class claim_port {
 public:
  using decision_function = std::function<void(const claim_decision&)>;

  virtual ~claim_port() = default;

  /// Claims \p key for a job with the hash \p content.
  virtual void Acquire(const std::string& key,
                       std::uint64_t content,
                       decision_function decided) = 0;

  /// Records the end of the job that holds the claim of \p key.
  virtual void End(const std::string& key, ended_outcome outcome) = 0;

  /// Gives up the claim of \p key, whose job has not run and will not.
  virtual void Release(const std::string& key) = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_CLAIM_PORT_H_
