#ifndef JAYRILL_ENTRY_HTTP_LIMITS_H_
#define JAYRILL_ENTRY_HTTP_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace jayrill {

/// Limits of the HTTP side of an entry.
struct http_limits {
  std::size_t max_connections = 1024;
  std::size_t max_header = std::size_t{16} * 1024;
  std::size_t max_body = std::size_t{8} * 1024 * 1024;
  /// Incomplete requests of all connections together; the limit on one body
  /// alone would allow 1,024 times 8 MB.
  std::size_t max_buffered = std::size_t{32} * 1024 * 1024;
  std::chrono::milliseconds request_time{10'000};  ///< First to last byte.
  std::chrono::milliseconds idle_time{60'000};
  /// Time without progress while a reply is sent.
  std::chrono::milliseconds write_time{60'000};
  /// A refused connection is read on for this long. Closing it with unread
  /// bytes would reset it and could destroy the refusal on its way.
  std::chrono::milliseconds linger_time{2'000};
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_HTTP_LIMITS_H_
