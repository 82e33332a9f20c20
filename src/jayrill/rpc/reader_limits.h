#ifndef JAYRILL_RPC_READER_LIMITS_H_
#define JAYRILL_RPC_READER_LIMITS_H_

#include <capnp/message.h>

#include <cstdint>

namespace jayrill {

/// Limit on the size of a received message, 16 MB. The largest batch or report
/// is far smaller.
inline constexpr std::uint64_t kMaxMessageWords = std::uint64_t{2} << 20U;

/// Limit on the nesting of a received message. The messages of dispatch.capnp
/// nest less than half as deep.
inline constexpr int kMaxNesting = 16;

/// Limit on the starts or results in one message. A list of empty structs takes
/// no space in a message, so without this limit a message of a few bytes could
/// make the reader allocate millions of items.
inline constexpr std::uint32_t kMaxBatchItems = 4096;

/// \returns the limits under which messages of a peer are read.
inline capnp::ReaderOptions ReaderLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  options.nestingLimit = kMaxNesting;
  return options;
}

}  // namespace jayrill

#endif  // JAYRILL_RPC_READER_LIMITS_H_
