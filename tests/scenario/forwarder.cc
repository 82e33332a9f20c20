#include "forwarder.h"

#include <algorithm>
#include <utility>

namespace jayrill::scenario {

forwarder::forwarder(const QHostAddress& host, quint16 port)
    : host_(host), target_port_(port) {
  server_.listen(QHostAddress::LocalHost, 0);
  connect(&server_, &QTcpServer::newConnection, this, &forwarder::Accept);
}

void forwarder::SetMode(mode new_mode) {
  mode_ = new_mode;
  if (mode_ == mode::kClose) {
    const std::vector<connection> connections = std::exchange(connections_, {});
    for (const connection& open : connections) {
      open.client_side->abort();
      open.target_side->abort();
      open.client_side->deleteLater();
      open.target_side->deleteLater();
    }
    return;
  }
  if (mode_ == mode::kPass) {
    const std::vector<connection> connections = connections_;
    for (const connection& open : connections) {
      ForwardBytes(open.client_side, open.target_side);
      ForwardBytes(open.target_side, open.client_side);
    }
  }
}

void forwarder::Accept() {
  while (QTcpSocket* client_side = server_.nextPendingConnection()) {
    if (mode_ == mode::kClose) {
      client_side->abort();
      client_side->deleteLater();
      continue;
    }
    auto* target_side = new QTcpSocket(this);
    client_side->setParent(this);
    client_side->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connections_.push_back({client_side, target_side});
    connect(target_side, &QTcpSocket::connected, this,
            [this, client_side, target_side] {
              target_side->setSocketOption(QAbstractSocket::LowDelayOption, 1);
              ForwardBytes(client_side, target_side);
            });
    connect(client_side, &QTcpSocket::readyRead, this,
            [this, client_side, target_side] {
              ForwardBytes(client_side, target_side);
            });
    connect(target_side, &QTcpSocket::readyRead, this,
            [this, client_side, target_side] {
              ForwardBytes(target_side, client_side);
            });
    connect(client_side, &QTcpSocket::disconnected, this,
            [this, client_side] { CloseConnection(client_side); });
    connect(target_side, &QTcpSocket::disconnected, this,
            [this, client_side] { CloseConnection(client_side); });
    connect(target_side, &QTcpSocket::errorOccurred, this,
            [this, client_side] { CloseConnection(client_side); });
    target_side->connectToHost(host_, target_port_);
  }
}

void forwarder::ForwardBytes(QTcpSocket* from, QTcpSocket* to) {
  if (mode_ != mode::kPass || to->state() != QAbstractSocket::ConnectedState) {
    return;
  }
  const QByteArray bytes = from->readAll();
  if (!bytes.isEmpty()) {
    to->write(bytes);
    to->flush();
  }
}

void forwarder::CloseConnection(QTcpSocket* client_side) {
  // A stalled route also holds back the end of a connection: the other side
  // must not see that its peer has closed.
  if (mode_ == mode::kStall) {
    return;
  }
  const auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [client_side](const connection& open) {
                                    return open.client_side == client_side;
                                  });
  if (found == connections_.end()) {
    return;
  }
  const connection closed = *found;
  connections_.erase(found);
  closed.client_side->disconnectFromHost();
  closed.target_side->disconnectFromHost();
  closed.client_side->deleteLater();
  closed.target_side->deleteLater();
}

}  // namespace jayrill::scenario
