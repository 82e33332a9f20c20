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

/// How long after its own time a request key is accepted.
inline constexpr std::chrono::minutes kClaimWindow(10);

/// How far in the future the time of a key may be; also the bound on the
/// difference between the clocks of two entries.
inline constexpr std::chrono::minutes kMaxClockSkew(1);

/// When a claim is removed, after the time of its key. Every entry refuses the
/// key by then, even one whose clock is kMaxClockSkew behind.
inline constexpr std::chrono::minutes kClaimLifetime(12);

inline constexpr std::size_t kMaxRequestKeySize = 128;
inline constexpr std::size_t kClaimShards = 64;

/// Names a non-idempotent request across its resubmissions; its text is
/// `<unix-ms>-<name>`.
struct request_key {
  std::string text;
  wall_time time;

  auto operator<=>(const request_key&) const = default;
};

/// Where the time of a key stands against the claim window.
enum class key_age { kValid, kExpired, kInFuture };

/// \returns the key in \p text, or an error of kind kInvalidArgument.
result<request_key> ParseRequestKey(std::string_view text);

/// \returns how old the key of time \p time is at \p now.
key_age AgeOf(wall_time time, wall_time now);

/// \returns true when the claim of a key of time \p time may be removed.
bool IsClaimOver(wall_time time, wall_time now);

/// \returns the shard of \p key, below kClaimShards.
std::size_t ShardOf(const request_key& key);

/// \returns the key of the store that holds the shard \p shard.
std::string ShardKey(std::size_t shard);

}  // namespace jayrill

#endif  // JAYRILL_CLAIM_REQUEST_KEY_H_
