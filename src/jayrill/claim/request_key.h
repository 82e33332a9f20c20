#ifndef JAYRILL_CLAIM_REQUEST_KEY_H_
#define JAYRILL_CLAIM_REQUEST_KEY_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>
#include <string_view>

#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"

namespace jayrill {

/// A request key is accepted up to this long after the time in it.
inline constexpr std::chrono::minutes kClaimWindow(10);

/// A request key is accepted if its time is at most this far in the future. The
/// clocks of two entries must not differ by more.
inline constexpr std::chrono::minutes kMaxClockSkew(1);

/// A claim is removed this long after the time of its key. By then every entry
/// refuses the key, even one whose clock is kMaxClockSkew behind.
inline constexpr std::chrono::minutes kClaimLifetime(12);

inline constexpr std::size_t kMaxRequestKeySize = 128;
inline constexpr std::size_t kClaimShards = 64;

/// Identifies a non-idempotent request across its resubmissions.
struct request_key {
  std::string text;  ///< `<unix-ms>-<name>`, as the client sent it.
  wall_time time;    ///< The `<unix-ms>` in the text.

  auto operator<=>(const request_key&) const = default;
};

/// Whether the time of a key is within [now - kClaimWindow, now +
/// kMaxClockSkew].
enum class key_age { kValid, kExpired, kInFuture };

/// \returns the key in \p text, or an error of kind kInvalidArgument.
result<request_key> ParseRequestKey(std::string_view text);

/// \returns whether a key of time \p time is accepted at \p now.
key_age AgeOf(wall_time time, wall_time now);

/// \returns true when the claim of a key of time \p time may be removed at
/// \p now.
/// \sa kClaimLifetime
bool IsPastClaimLifetime(wall_time time, wall_time now);

/// \returns the number of the shard of \p key, below kClaimShards.
std::size_t ShardOf(const request_key& key);

/// \returns the key of the store under which the shard \p shard is kept.
std::string ShardKey(std::size_t shard);

}  // namespace jayrill

#endif  // JAYRILL_CLAIM_REQUEST_KEY_H_
