#ifndef JAYRILL_ENTRY_HTTP_HTTP_LIMITS_H_
#define JAYRILL_ENTRY_HTTP_HTTP_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace jayrill {

/// Limits of one HTTP server of an entry.
struct http_limits {
  std::size_t max_connections = 1024;
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
  /// Received bytes that wait in the buffers of all connections together. The
  /// limit of one body alone would allow 1,024 times 8 MB.
  std::size_t max_buffered_bytes = std::size_t{32} * 1024 * 1024;
  std::chrono::milliseconds request_timeout{10'000};  ///< First to last byte.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Time without progress while a reply is sent.
  std::chrono::milliseconds write_timeout{60'000};
  /// How long input is still read and dropped after a refusal or the last reply
  /// of a connection. Closing it with unread bytes would reset the connection,
  /// and the caller could lose the response.
  std::chrono::milliseconds linger_timeout{2'000};
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_HTTP_HTTP_LIMITS_H_
