#ifndef JAYRILL_ENTRY_HTTP_SERVER_H_
#define JAYRILL_ENTRY_HTTP_SERVER_H_

#include <QtHttpServer/QHttpServer>
#include <functional>
#include <memory>
#include <string>

#include "jayrill/base/error.h"
#include "jayrill/entry/http_exchange.h"
#include "jayrill/entry/http_guard.h"
#include "jayrill/entry/http_limits.h"
#include "jayrill/metrics.h"

namespace jayrill {

/// The HTTP server of an entry: QHttpServer behind its guard, with handlers
/// that may reply later. Belongs to the Qt thread.
class http_server {
 public:
  using handler = std::function<void(exchange_ptr)>;

  http_server(http_limits limits, metric_registry& metrics);

  /// Routes requests for \p path to \p handle. `<arg>` in the path stands for
  /// one segment.
  /// \p path has at most one `<arg>`.
  void Route(const std::string& path,
             QHttpServerRequest::Methods methods,
             const handler& handle);

  /// Routes every request that no other route takes to \p handle.
  void RouteOthers(const handler& handle);

  /// \returns the port; an error when \p address cannot be listened on.
  result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  /// Closes each connection after its next reply.
  void CloseAfterReplies() { guard_->CloseAfterReplies(); }

  /// Finishes every request that has begun, then calls \p stopped.
  void Stop(std::function<void()> stopped);

  std::size_t connections() const { return guard_->connections(); }

 private:
  static void Handle(const handler& handle,
                     const QHttpServerRequest& request,
                     QHttpServerResponder&& responder);

  QHttpServer server_;
  /// Destroyed before server_, which has it as a child.
  std::unique_ptr<http_guard> guard_;
};

/// \returns a response with \p failure as JSON.
http_response ErrorResponse(const error& failure);

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_HTTP_SERVER_H_
