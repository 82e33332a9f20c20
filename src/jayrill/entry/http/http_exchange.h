#ifndef JAYRILL_ENTRY_HTTP_HTTP_EXCHANGE_H_
#define JAYRILL_ENTRY_HTTP_HTTP_EXCHANGE_H_

#include <QtCore/QByteArray>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "jayrill/base/clock.h"
#include "jayrill/base/ref_counted.h"

namespace jayrill {

/// What an entry sees of the caller at the other end of a connection.
enum class caller_state {
  kConnected,
  kClosed,  ///< It had closed its side when its request was read.
  kReset,   ///< The connection was reset when its request was read.
  kLeft,    ///< It has closed or reset the connection later.
};

std::string_view ToString(caller_state state);

/// When the parts of a request were seen by this process.
struct request_times {
  steady_time accepted;    ///< Its connection was.
  steady_time first_byte;  ///< Was read.
  steady_time complete;    ///< The last byte was read.

  auto operator<=>(const request_times&) const = default;
};

/// A complete HTTP request.
struct http_request {
  std::string method;
  std::string path;                            ///< Decoded, without the query.
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  QByteArray body;
  request_times times;
  /// How long it has waited before and while it was read, at most; zero when
  /// that is no longer than loop_progress::kOnTimeLimit.
  std::chrono::milliseconds waited{};
  caller_state caller = caller_state::kConnected;  ///< When it was complete.

  /// \returns the value of the header \p name (in lower case); empty if there
  /// is none.
  std::string_view Header(const std::string& name) const;

  std::string_view Body() const {
    return {body.constData(), static_cast<std::size_t>(body.size())};
  }
};

/// An HTTP response.
struct http_response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Sent as Retry-After, rounded up to seconds; 0: the header is left out.
  std::chrono::milliseconds retry_after{};
};

/// A request together with the function that sends the reply. Used on the Qt
/// main thread only.
///
/// The exchange may outlive its connection: a late reply to a caller that has
/// disconnected is dropped here and never reaches a deleted socket.
class http_exchange : public ref_counted<http_exchange> {
 public:
  using writer = std::function<void(const http_response&)>;

  http_exchange(http_request request, writer write)
      : request_(std::move(request)), write_(std::move(write)) {}

  const http_request& request() const { return request_; }

  /// Sends \p response. Has no effect after an earlier reply or once the caller
  /// has disconnected.
  void Reply(const http_response& response);

  /// Sets the function to call if the caller disconnects before the reply.
  void OnDisconnected(std::function<void()> listener) {
    on_disconnected_ = std::move(listener);
  }

  /// Called by the socket when the connection is lost. Calls the function of
  /// OnDisconnected().
  void MarkDisconnected();

  /// \returns true when the reply was sent or the caller has disconnected.
  bool IsFinished() const { return !write_; }

 private:
  http_request request_;
  writer write_;
  std::function<void()> on_disconnected_;
};

using exchange_ptr = intrusive_ptr<http_exchange>;

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_HTTP_HTTP_EXCHANGE_H_
