#ifndef JAYRILL_CLAIM_CLAIM_SHARD_H_
#define JAYRILL_CLAIM_CLAIM_SHARD_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/base/ids.h"
#include "jayrill/claim/claim_decision.h"
#include "jayrill/claim/request_key.h"

namespace jayrill {

/// Largest answer that a claim keeps, and the size of a shard from which on
/// answers are no longer kept.
inline constexpr std::size_t kMaxKeptAnswer = 2048;
inline constexpr std::size_t kMaxShardForAnswers = std::size_t{512} * 1024;

/// Size of a shard from which on claims are refused. The store holds values up
/// to 1 MB, and the rest is for the ends of the claims that are running.
inline constexpr std::size_t kMaxShardForClaims = std::size_t{800} * 1024;

enum class claim_state { kRunning, kReleased, kEnded };

/// Durable note that an entry took a non-idempotent request.
struct claim {
  claim_state state = claim_state::kRunning;
  incarnation entry;        ///< Process that claimed it last.
  std::uint64_t token = 0;  ///< Drawn by the claiming submission.
  /// Hash of the job's content; tells a resubmission from another job.
  std::uint64_t fingerprint = 0;
  wall_time time;  ///< Time of the key.
  ended_outcome outcome;

  auto operator<=>(const claim&) const = default;
};

/// The claims that share one key of the store.
struct claim_shard {
  std::map<std::string, claim, std::less<>> claims;

  auto operator<=>(const claim_shard&) const = default;
};

/// Claims \p key as \p wanted says, unless another submission holds it.
/// \returns the decision; \p shard changes only when it is kGranted. A claim
/// with the own token is granted, so that a lost answer is resolved.
claim_decision TryAcquire(claim_shard& shard,
                          const request_key& key,
                          const claim& wanted);

/// Notes the end of the job that holds \p key with \p token.
/// \returns true when \p shard changed.
bool TryEnd(claim_shard& shard,
            const request_key& key,
            std::uint64_t token,
            const ended_outcome& outcome);

/// Makes the claim of \p key free for a resubmission. An absent claim is
/// written as released, and one that another submission released is written
/// again: that moves the revision of the shard, so a write of the claim that is
/// still on its way cannot take effect any more.
/// \returns true when \p shard changed.
bool TryRelease(claim_shard& shard,
                const request_key& key,
                const claim& released);

/// Removes the claims whose keys every entry refuses at \p now.
void RemoveExpired(claim_shard& shard, wall_time now);

/// \returns the JSON form of \p shard.
std::string EncodeShard(const claim_shard& shard);
result<claim_shard> DecodeShard(std::string_view json);

/// \returns a decision to refuse.
claim_decision RefuseClaim(std::string code,
                           std::string message,
                           std::string remedy);

}  // namespace jayrill

#endif  // JAYRILL_CLAIM_CLAIM_SHARD_H_
