#ifndef JAYRILL_AGENT_ANNOUNCE_API_H_
#define JAYRILL_AGENT_ANNOUNCE_API_H_

#include <QHttpServer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "jayrill/agent/announcement.h"
#include "jayrill/base/error.h"

namespace jayrill {

/// HTTP server of an agent: receives the announcements of the minion and its
/// notice that it leaves, and serves health and metrics.
///
/// Runs on the Qt thread, which also calls the listener.
class announce_api final {
 public:
  struct listener {
    std::function<void(announcement minion)> on_announce;
    /// Called when the minion \p instance says that it leaves; empty: the
    /// present one does.
    /// \returns the number of its tasks that still run.
    std::function<std::uint32_t(const std::string& instance)> on_leave;
    /// Called when an announcement cannot be read.
    std::function<void(const error& reason)> on_malformed;
    /// \returns the text of GET /metrics.
    std::function<std::string()> metrics;
  };

  /// Adds routes to a server that does not listen yet.
  using route_adder = std::function<void(QHttpServer&, const listener&)>;

  /// \p ttl is sent to the minion as the time for which an announcement holds.
  /// \p add_routes may be empty.
  announce_api(std::chrono::milliseconds ttl,
               listener callbacks,
               const route_adder& add_routes = {});

  /// Listens on \p address (IP:port; port 0 lets the system choose).
  result<void> Listen(const std::string& address);

  /// \returns the port on which the server listens; 0 before Listen.
  std::uint16_t port() const { return port_; }

 private:
  QHttpServerResponse HandleAnnounce(const QHttpServerRequest& request);
  QHttpServerResponse HandleLeave();

  const std::chrono::milliseconds ttl_;
  listener listener_;
  std::uint16_t port_ = 0;
  QHttpServer server_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_ANNOUNCE_API_H_
