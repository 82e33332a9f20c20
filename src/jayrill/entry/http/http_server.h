#ifndef JAYRILL_ENTRY_HTTP_HTTP_SERVER_H_
#define JAYRILL_ENTRY_HTTP_HTTP_SERVER_H_

#include <QtHttpServer/QHttpServer>
#include <functional>
#include <memory>
#include <string>

#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/entry/http/http_exchange.h"
#include "jayrill/entry/http/http_guard.h"
#include "jayrill/entry/http/http_limits.h"
#include "jayrill/metrics.h"
#include "jayrill/session/loop_progress.h"

namespace jayrill {

/// The HTTP server of an entry: QHttpServer behind an http_guard, which adds
/// the limits. Handlers may reply after they have returned. Used on the Qt main
/// thread only.
class http_server {
 public:
  using handler = std::function<void(exchange_ptr)>;

  /// \param loop the progress of the loop of the Qt main thread
  http_server(http_limits limits,
              metric_registry& metrics,
              const clock& time,
              const loop_progress& loop);

  /// Routes requests for \p path to \p handle. \p path may contain `<arg>`
  /// once, which matches any one segment.
  void Route(const std::string& path,
             QHttpServerRequest::Methods methods,
             const handler& handle);

  /// Routes every request that matches no other route to \p handle. Without it,
  /// they get 404.
  void RouteUnmatched(const handler& handle);

  /// \returns the port; an error when \p address cannot be listened on.
  result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  /// Closes each connection after its next reply.
  void CloseAfterReplies() { guard_->CloseAfterReplies(); }

  /// Finishes every request that has begun, then calls \p stopped.
  void Stop(std::function<void()> stopped);

  std::size_t connections() const { return guard_->connections(); }

 private:
  /// Makes the exchange for \p request, which \p responder answers, and passes
  /// it to \p handle.
  static void StartExchange(const handler& handle,
                            const QHttpServerRequest& request,
                            QHttpServerResponder&& responder);

  QHttpServer server_;
  /// Must be destroyed before server_, which has it as a child and would delete
  /// it too.
  std::unique_ptr<http_guard> guard_;
};

/// \returns the response to a request that failed with \p failure.
http_response ErrorResponse(const error& failure);

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_HTTP_HTTP_SERVER_H_
