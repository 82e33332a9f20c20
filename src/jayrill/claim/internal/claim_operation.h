#ifndef JAYRILL_CLAIM_INTERNAL_CLAIM_OPERATION_H_
#define JAYRILL_CLAIM_INTERNAL_CLAIM_OPERATION_H_

#include <cstdint>
#include <functional>

#include "jayrill/base/error.h"
#include "jayrill/claim/claim_shard.h"

namespace jayrill::claim_internal {

/// One change of a claim that waits for its shard to be written.
struct claim_operation {
  enum class kind { kAcquire, kEnd, kRelease };

  kind what = kind::kAcquire;
  request_key key;
  claim value;  ///< What to write; its outcome is used by kEnd.
  std::function<void(const claim_decision&)> decided;  ///< kAcquire.
  std::function<void(const result<void>&)> finished;   ///< kEnd, kRelease.

  /// A write of it had no answer, so it may still take effect.
  bool unsettled = false;
  /// Its caller has its answer; what is left is to take back a late claim.
  bool answered = false;
  claim_decision planned;  ///< Decision if the write in flight succeeds.
};

}  // namespace jayrill::claim_internal

#endif  // JAYRILL_CLAIM_INTERNAL_CLAIM_OPERATION_H_
