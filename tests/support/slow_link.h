#ifndef TESTS_SUPPORT_SLOW_LINK_H_
#define TESTS_SUPPORT_SLOW_LINK_H_

#include <QByteArray>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace jayrill {

/// Forwards TCP connections to a port of this machine. All answers together
/// pass at a limited rate. Lives on the Qt thread.
class slow_link {
 public:
  slow_link(std::uint16_t target_port, qint64 bytes_per_second)
      : target_port_(target_port),
        bytes_per_tick_(bytes_per_second * kTickMs / 1000) {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                     [this] { Open(server_.nextPendingConnection()); });
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Pass(); });
    timer_.start(kTickMs);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(server_.serverPort());
  }

 private:
  static constexpr int kTickMs = 10;
  /// Bytes of a connection that wait on its way, as in the windows of TCP.
  static constexpr qint64 kWindow = 65'536;

  struct connection {
    QTcpSocket* client = nullptr;
    std::unique_ptr<QTcpSocket> target = std::make_unique<QTcpSocket>();
  };

  void Open(QTcpSocket* client) {
    auto added = std::make_unique<connection>();
    added->client = client;
    QTcpSocket* const target = added->target.get();
    target->setReadBufferSize(kWindow);
    target->connectToHost(QHostAddress::LocalHost, target_port_);
    QObject::connect(client, &QTcpSocket::readyRead, target,
                     [client, target] { target->write(client->readAll()); });
    connections_.push_back(std::move(added));
  }

  void Pass() {
    std::erase_if(connections_, [](const std::unique_ptr<connection>& item) {
      return item->client->state() == QAbstractSocket::UnconnectedState;
    });
    qint64 left = bytes_per_tick_;
    for (const std::unique_ptr<connection>& item : connections_) {
      const QByteArray part = item->target->read(left);
      item->client->write(part);
      left -= part.size();
    }
    // The connection that was served last goes first in the next turn.
    std::reverse(connections_.begin(), connections_.end());
  }

  const std::uint16_t target_port_;
  const qint64 bytes_per_tick_;
  QTcpServer server_;
  QTimer timer_;
  std::vector<std::unique_ptr<connection>> connections_;
};

}  // namespace jayrill

#endif  // TESTS_SUPPORT_SLOW_LINK_H_
