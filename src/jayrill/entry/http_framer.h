#ifndef JAYRILL_ENTRY_HTTP_FRAMER_H_
#define JAYRILL_ENTRY_HTTP_FRAMER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "jayrill/job/job_outcome.h"

namespace jayrill {

/// A refusal of a request by its frame, before any handler has seen it.
struct http_refusal {
  int status = 400;
  std::string code;
  std::string message;
  std::string remedy;
};

/// \returns the response to \p refusal as it goes to the connection, which is
/// closed after it. The body has the form of a job that was not run.
std::string EncodeRefusal(const http_refusal& refusal);

/// Finds the end of one HTTP/1 request in a growing buffer and checks its
/// limits.
///
/// Only what decides the frame is read here; QHttpServer parses the rest.
/// Requests whose frame two parsers could read differently are refused, since
/// the load balancer in front is such a second parser.
class http_framer {
 public:
  http_framer(std::size_t max_header, std::size_t max_body)
      : max_header_(max_header), max_body_(max_body) {}

  /// Examines the \p buffer, which starts with the request and may have grown
  /// since the last call.
  /// \returns the refusal if there is one; then the framer must not be used on.
  std::optional<http_refusal> Examine(std::string_view buffer);

  /// \returns the size of the request when \p buffer_size bytes contain it, or
  /// 0.
  std::size_t CompleteSize(std::size_t buffer_size) const;

  /// The header is complete and asks for a provisional answer before the body.
  bool expects_continue() const { return expects_continue_; }

  /// The connection may be used for another request.
  bool keep_alive() const { return keep_alive_; }

  /// Makes ready for the next request.
  void Reset();

 private:
  std::optional<http_refusal> ReadRequestLine(std::string_view line);
  std::optional<http_refusal> ReadField(std::string_view line);
  std::optional<http_refusal> ReadLength(std::string_view value);

  std::size_t max_header_;
  std::size_t max_body_;
  std::size_t scanned_ = 0;
  std::size_t header_size_ = 0;  ///< 0 until the header is complete.
  std::optional<std::size_t> body_size_;
  bool request_line_read_ = false;
  bool expects_continue_ = false;
  bool keep_alive_ = true;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_HTTP_FRAMER_H_
