#ifndef JAYRILL_ENTRY_HTTP_EXCHANGE_H_
#define JAYRILL_ENTRY_HTTP_EXCHANGE_H_

#include <QtCore/QByteArray>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "jayrill/base/ref_counted.h"

namespace jayrill {

/// One request, read in full.
struct http_request {
  std::string method;
  std::string path;                            ///< Decoded, without the query.
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  QByteArray body;

  /// \returns the value of the header \p name (in lower case), or nothing.
  std::string_view Header(const std::string& name) const;

  std::string_view Body() const {
    return {body.constData(), static_cast<std::size_t>(body.size())};
  }
};

/// One answer.
struct http_response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// When a refused request may come again, rounded up to seconds; 0: not said.
  std::chrono::milliseconds retry_after{};
};

/// A request together with the way to answer it. Belongs to the Qt thread.
///
/// The exchange outlives its connection, so a late reply to a caller that has
/// gone is dropped here and never reaches a deleted socket.
class http_exchange : public ref_counted<http_exchange> {
 public:
  using writer = std::function<void(const http_response&)>;

  http_exchange(http_request request, writer write)
      : request_(std::move(request)), write_(std::move(write)) {}

  const http_request& request() const { return request_; }

  /// Sends \p response. Only the first call has an effect, and none has once
  /// the caller is gone.
  void Reply(const http_response& response);

  /// Sets what happens when the caller goes away before the reply.
  void OnGone(std::function<void()> listener) {
    on_gone_ = std::move(listener);
  }

  /// The connection is lost. Called by its owner.
  void MarkGone();

  /// \returns true when no reply is due any more.
  bool IsFinished() const { return !write_; }

 private:
  http_request request_;
  writer write_;
  std::function<void()> on_gone_;
};

using exchange_ptr = intrusive_ptr<http_exchange>;

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_HTTP_EXCHANGE_H_
