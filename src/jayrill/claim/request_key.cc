#include "jayrill/claim/request_key.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include "jayrill/base/hash.h"

namespace jayrill {

namespace {

// In the year 5138: far beyond any use, and small enough that differences of
// times cannot overflow.
constexpr std::int64_t kMaxKeyTimeMs = 100'000'000'000'000;

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

result<request_key> ParseRequestKey(std::string_view text) {
  std::int64_t milliseconds = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, milliseconds);
  const bool has_time = failure == std::errc() && milliseconds >= 0 &&
                        milliseconds <= kMaxKeyTimeMs && rest != end &&
                        *rest == '-';
  if (!has_time || rest + 1 == end || text.size() > kMaxRequestKeySize ||
      !IsPrintable(text)) {
    return MakeError(error_kind::kInvalidArgument,
                     "the request key is malformed",
                     "use <unix-ms>-<name> of at most 128 printable characters "
                     "without spaces");
  }
  return request_key{std::string(text),
                     wall_time(std::chrono::milliseconds(milliseconds))};
}

key_age AgeOf(wall_time time, wall_time now) {
  if (now - time > kClaimWindow) {
    return key_age::kExpired;
  }
  return time - now > kMaxClockSkew ? key_age::kInFuture : key_age::kValid;
}

bool IsPastClaimLifetime(wall_time time, wall_time now) {
  return now - time > kClaimLifetime;
}

std::size_t ShardOf(const request_key& key) {
  return StableHash(key.text) % kClaimShards;
}

std::string ShardKey(std::size_t shard) {
  return "/jayrill/claims/" + std::to_string(shard);
}

}  // namespace jayrill
