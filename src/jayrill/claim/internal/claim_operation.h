#ifndef JAYRILL_CLAIM_INTERNAL_CLAIM_OPERATION_H_
#define JAYRILL_CLAIM_INTERNAL_CLAIM_OPERATION_H_

#include <cstdint>
#include <functional>

#include "jayrill/base/error.h"
#include "jayrill/claim/claim_shard.h"

namespace jayrill::claim_internal {

/// One change of a claim, queued until its shard is written.
struct claim_operation {
  enum class kind { kAcquire, kEnd, kRelease };

  kind what = kind::kAcquire;
  request_key key;
  claim value;  ///< The claim to write; only kEnd uses its outcome.
  std::function<void(const claim_decision&)> decided;  ///< Of kAcquire.
  std::function<void(const result<void>&)> finished;  ///< Of kEnd and kRelease.

  /// A write of this operation had no answer and may still take effect.
  bool outcome_unknown = false;
  /// `decided` was called. If the claim is stored after that, it has to be
  /// released.
  bool answered = false;
  /// Decision that applies once the write in flight succeeds, or at once if no
  /// write is needed.
  claim_decision planned;
};

}  // namespace jayrill::claim_internal

#endif  // JAYRILL_CLAIM_INTERNAL_CLAIM_OPERATION_H_
