#include "jayrill/entry/http/http_guard.h"

#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <utility>
#include <vector>

namespace jayrill {

http_guard::http_guard(http_limits limits,
                       metric_registry& metrics,
                       const clock& time,
                       const loop_progress& loop)
    : shared_{time, loop, limits},
      metrics_(metrics),
      connections_gauge_(
          metrics.Gauge("jayrill_http_connections", "Open HTTP connections.")) {
  // Qt's default of 50 is less than what arrives while the process stands
  // still. The kernel leaves further connections unanswered, and they are tried
  // again seconds later, when their callers may have left.
  setListenBacklogSize(static_cast<int>(limits.max_connections));
  shared_.on_closed = [this](guarded_socket& socket) { OnClosed(socket); };
  shared_.on_refusal = [this](const std::string& code) {
    metrics_
        .Counter("jayrill_http_refusals_total",
                 "Requests and connections refused before any handler.",
                 {{"code", code}})
        .Add();
  };
}

http_guard::~http_guard() {
  stopped_ = nullptr;
  for (const guarded_socket* socket : std::exchange(sockets_, {})) {
    delete socket;
  }
}

void http_guard::incomingConnection(qintptr descriptor) {
  if (sockets_.size() >= shared_.limits.max_connections) {
    RefuseConnection(descriptor);
    return;
  }
  auto* socket = new guarded_socket(descriptor, shared_);
  sockets_.insert(socket);
  connections_gauge_.Set(static_cast<std::int64_t>(sockets_.size()));
  addPendingConnection(socket);
}

void http_guard::RefuseConnection(qintptr descriptor) {
  const std::string refusal =
      EncodeRefusal({503, "too_many_connections",
                     "the entry has " + std::to_string(sockets_.size()) +
                         " connections, which is its limit",
                     "reuse connections or submit to another entry"});
  const int fd = static_cast<int>(descriptor);
  // A new connection has an empty send buffer, so this does not block.
  ::send(fd, refusal.data(), refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  ::close(fd);
  shared_.on_refusal("too_many_connections");
}

void http_guard::OnClosed(guarded_socket& socket) {
  sockets_.erase(&socket);
  connections_gauge_.Set(static_cast<std::int64_t>(sockets_.size()));
  if (sockets_.empty() && stopped_) {
    std::exchange(stopped_, nullptr)();
  }
}

void http_guard::Stop(std::function<void()> stopped) {
  close();
  shared_.stopping = true;
  if (sockets_.empty()) {
    stopped();
    return;
  }
  stopped_ = std::move(stopped);
  const std::vector<guarded_socket*> sockets(sockets_.begin(), sockets_.end());
  for (guarded_socket* socket : sockets) {
    socket->Stop();
  }
}

}  // namespace jayrill
