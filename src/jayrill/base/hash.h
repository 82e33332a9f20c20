#ifndef JAYRILL_BASE_HASH_H_
#define JAYRILL_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace jayrill {

/// \returns the 64-bit xxHash (XXH3) of \p bytes. It is the same on every
/// machine, so it may determine where a key is stored.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace jayrill

#endif  // JAYRILL_BASE_HASH_H_
