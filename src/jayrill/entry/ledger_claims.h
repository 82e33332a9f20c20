#ifndef JAYRILL_ENTRY_LEDGER_CLAIMS_H_
#define JAYRILL_ENTRY_LEDGER_CLAIMS_H_

#include <string>

#include "jayrill/claim/claim_ledger.h"
#include "jayrill/entry/claim_port.h"

namespace jayrill {

/// Implements claim_port with the claim ledger in the key-value store.
class ledger_claims final : public claim_port {
 public:
  /// \p ledger must outlive this object.
  explicit ledger_claims(claim_ledger& ledger) : ledger_(ledger) {}

  void Acquire(const std::string& key,
               std::uint64_t content_hash,
               decision_function decided) override;
  void End(const std::string& key, ended_outcome outcome) override;
  void Release(const std::string& key) override;

 private:
  claim_ledger& ledger_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_LEDGER_CLAIMS_H_
