#ifndef JAYRILL_ENTRY_HTTP_HTTP_GUARD_H_
#define JAYRILL_ENTRY_HTTP_HTTP_GUARD_H_

#include <QtNetwork/QTcpServer>
#include <functional>
#include <set>

#include "jayrill/entry/http/guarded_socket.h"
#include "jayrill/entry/http/http_limits.h"
#include "jayrill/metrics.h"

namespace jayrill {

/// The TCP server that accepts connections for QHttpServer, which has no limits
/// of its own. It limits their number and wraps each in a guarded_socket, which
/// checks the requests. Used on the Qt main thread only.
class http_guard final : public QTcpServer {
 public:
  http_guard(http_limits limits,
             metric_registry& metrics,
             const clock& time,
             const loop_progress& loop);
  ~http_guard() override;

  /// Closes each connection after its next reply, so that callers and the load
  /// balancer move on while the entry drains.
  void CloseAfterReplies() { shared_.stopping = true; }

  /// Accepts no further connection, closes idle ones and calls \p stopped when
  /// the last one is closed. Requests that have begun are answered.
  void Stop(std::function<void()> stopped);

  std::size_t connections() const { return sockets_.size(); }

 protected:
  void incomingConnection(qintptr descriptor) override;

 private:
  void RefuseConnection(qintptr descriptor);
  void OnClosed(guarded_socket& socket);

  guarded_socket::shared_state shared_;
  metric_registry& metrics_;
  gauge& connections_gauge_;
  std::set<guarded_socket*> sockets_;
  std::function<void()> stopped_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_HTTP_HTTP_GUARD_H_
