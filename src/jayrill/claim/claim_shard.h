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

/// Largest answer that is stored with a claim.
/// \sa kMaxShardBytesForAnswers
inline constexpr std::size_t kMaxKeptAnswerBytes = 2048;

/// An answer is stored only if the shard, this answer included, is no larger
/// than this.
inline constexpr std::size_t kMaxShardBytesForAnswers = std::size_t{512} * 1024;

/// New claims are refused while the shard is larger than this. The store holds
/// values up to 1 MB; the difference is reserved for the outcomes of the claims
/// that are running.
inline constexpr std::size_t kMaxShardBytesForClaims = std::size_t{800} * 1024;

/// kReleased: the job did not run, and a resubmission may claim the key.
enum class claim_state { kRunning, kReleased, kEnded };

/// Stored record that an entry has accepted a non-idempotent request.
struct claim {
  claim_state state = claim_state::kRunning;
  incarnation entry;        ///< Process that last claimed the key.
  std::uint64_t token = 0;  ///< Random; identifies the claiming submission.
  /// Hash of the job's content; distinguishes a resubmission of the job from
  /// another job under the same key.
  std::uint64_t fingerprint = 0;
  wall_time time;         ///< The time in the request key.
  ended_outcome outcome;  ///< Empty unless the state is kEnded.

  auto operator<=>(const claim&) const = default;
};

/// The claims that are stored together in one value, by request key.
struct claim_shard {
  std::map<std::string, claim, std::less<>> claims;

  auto operator<=>(const claim_shard&) const = default;
};

/// Stores \p wanted as the claim of \p key in \p shard, unless another
/// submission holds the key.
/// \returns the decision; \p shard changes only when it is kGranted. The
/// decision is also kGranted when the claim in \p shard has the token of
/// \p wanted: an earlier write took effect, but its answer was lost.
claim_decision TryAcquire(claim_shard& shard,
                          const request_key& key,
                          const claim& wanted);

/// Sets the claim of \p key to kEnded with \p outcome if it is running under
/// \p token.
/// \returns true when \p shard changed.
bool TryEnd(claim_shard& shard,
            const request_key& key,
            std::uint64_t token,
            const ended_outcome& outcome);

/// Sets the claim of \p key to kReleased, so that a resubmission may claim it.
///
/// A write that would make the claim running may still be in flight. To make
/// its compare-and-swap fail, the revision of the shard must change. Therefore
/// an absent claim is added as released, and a claim that another submission
/// has released is written again.
///
/// \returns true when \p shard changed.
bool TryRelease(claim_shard& shard,
                const request_key& key,
                const claim& released);

/// Removes the claims whose keys every entry refuses at \p now.
/// \sa kClaimLifetime
void RemoveExpired(claim_shard& shard, wall_time now);

/// \returns the JSON form of \p shard.
std::string EncodeShard(const claim_shard& shard);

/// \returns the shard in \p json, or an error of kind kInvalidArgument.
result<claim_shard> DecodeShard(std::string_view json);

/// \returns a decision of kind kRefused.
claim_decision RefuseClaim(std::string code,
                           std::string message,
                           std::string remedy);

}  // namespace jayrill

#endif  // JAYRILL_CLAIM_CLAIM_SHARD_H_
