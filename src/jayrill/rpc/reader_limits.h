#ifndef JAYRILL_RPC_READER_LIMITS_H_
#define JAYRILL_RPC_READER_LIMITS_H_

#include <capnp/message.h>

#include <cstdint>

namespace jayrill {

/// Size of a message that is read, 16 MB: the largest batch or report is far
/// below it.
inline constexpr std::uint64_t kMaxMessageWords = std::uint64_t{2} << 20U;

/// Nesting of a message that is read; ours nest less than half as deep.
inline constexpr int kMaxNesting = 16;

/// Starts or results of one message. A list of empty structs takes no space in
/// a message, so without this limit a few bytes could make the reader allocate
/// for millions of items.
inline constexpr std::uint32_t kMaxBatchItems = 4096;

/// \returns the limits for messages of a peer.
inline capnp::ReaderOptions ReaderLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  options.nestingLimit = kMaxNesting;
  return options;
}

}  // namespace jayrill

#endif  // JAYRILL_RPC_READER_LIMITS_H_
