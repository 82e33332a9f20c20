#ifndef JAYRILL_ENTRY_HTTP_HTTP_FRAMER_H_
#define JAYRILL_ENTRY_HTTP_HTTP_FRAMER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "jayrill/job/job_outcome.h"

namespace jayrill {

/// The refusal of a malformed or too large request, before any handler has seen
/// it.
struct http_refusal {
  int status = 400;
  std::string code;
  std::string message;
  std::string remedy;
};

/// \returns the bytes of the HTTP response for \p refusal, with
/// `Connection: close`. The body has the format of a job that was not run.
std::string EncodeRefusal(const http_refusal& refusal);

/// Finds the end of one HTTP/1 request in a growing buffer and checks its
/// limits.
///
/// Reads only what determines where the request ends and whether the connection
/// stays open; QHttpServer parses the rest. Requests whose end two parsers
/// could find at different places are refused, to prevent request smuggling:
/// the load balancer in front of the entry is a second parser.
class http_framer {
 public:
  http_framer(std::size_t max_header_bytes, std::size_t max_body_bytes)
      : max_header_bytes_(max_header_bytes), max_body_bytes_(max_body_bytes) {}

  /// Examines the \p buffer, which starts with the request and may have grown
  /// since the last call.
  /// \returns the refusal if there is one. The framer must not be used after
  /// that.
  std::optional<http_refusal> Examine(std::string_view buffer);

  /// \returns the size of the request when a buffer of \p buffer_size bytes
  /// contains all of it, else 0.
  std::size_t CompleteSize(std::size_t buffer_size) const;

  /// \returns true when the header is complete and asks for `100 Continue`
  /// before the body.
  bool expects_continue() const {
    return header_size_ > 0 && expects_continue_;
  }

  /// \returns true when the connection may be used for another request.
  bool keep_alive() const { return keep_alive_; }

  /// Prepares for the next request.
  void Reset();

 private:
  std::optional<http_refusal> ReadRequestLine(std::string_view line);
  std::optional<http_refusal> ReadField(std::string_view line);
  std::optional<http_refusal> ReadLength(std::string_view value);

  std::size_t max_header_bytes_;
  std::size_t max_body_bytes_;
  std::size_t scanned_size_ = 0;
  std::size_t header_size_ = 0;  ///< 0 until the header is complete.
  std::optional<std::size_t> body_size_;
  bool request_line_read_ = false;
  bool expects_continue_ = false;
  bool keep_alive_ = true;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_HTTP_HTTP_FRAMER_H_
