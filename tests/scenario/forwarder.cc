#include "forwarder.h"

#include <algorithm>
#include <utility>

namespace jayrill::scenario {

forwarder::forwarder(const QHostAddress& host, quint16 port)
    : host_(host), target_port_(port) {
  server_.listen(QHostAddress::LocalHost, 0);
  connect(&server_, &QTcpServer::newConnection, this, &forwarder::Accept);
}

void forwarder::SetMode(mode next) {
  mode_ = next;
  if (mode_ == mode::kClose) {
    const std::vector<link> links = std::exchange(links_, {});
    for (const link& open : links) {
      open.near_side->abort();
      open.far_side->abort();
      open.near_side->deleteLater();
      open.far_side->deleteLater();
    }
    return;
  }
  if (mode_ == mode::kPass) {
    const std::vector<link> links = links_;
    for (const link& open : links) {
      Pump(open.near_side, open.far_side);
      Pump(open.far_side, open.near_side);
    }
  }
}

void forwarder::Accept() {
  while (QTcpSocket* near_side = server_.nextPendingConnection()) {
    if (mode_ == mode::kClose) {
      near_side->abort();
      near_side->deleteLater();
      continue;
    }
    auto* far_side = new QTcpSocket(this);
    near_side->setParent(this);
    near_side->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    links_.push_back({near_side, far_side});
    connect(far_side, &QTcpSocket::connected, this,
            [this, near_side, far_side] {
              far_side->setSocketOption(QAbstractSocket::LowDelayOption, 1);
              Pump(near_side, far_side);
            });
    connect(near_side, &QTcpSocket::readyRead, this,
            [this, near_side, far_side] { Pump(near_side, far_side); });
    connect(far_side, &QTcpSocket::readyRead, this,
            [this, near_side, far_side] { Pump(far_side, near_side); });
    connect(near_side, &QTcpSocket::disconnected, this,
            [this, near_side] { Drop(near_side); });
    connect(far_side, &QTcpSocket::disconnected, this,
            [this, near_side] { Drop(near_side); });
    connect(far_side, &QTcpSocket::errorOccurred, this,
            [this, near_side] { Drop(near_side); });
    far_side->connectToHost(host_, target_port_);
  }
}

void forwarder::Pump(QTcpSocket* from, QTcpSocket* to) {
  if (mode_ != mode::kPass || to->state() != QAbstractSocket::ConnectedState) {
    return;
  }
  const QByteArray bytes = from->readAll();
  if (!bytes.isEmpty()) {
    to->write(bytes);
    to->flush();
  }
}

void forwarder::Drop(QTcpSocket* near_side) {
  // A stalled route also holds back the news that a peer has gone.
  if (mode_ == mode::kStall) {
    return;
  }
  const auto found = std::find_if(
      links_.begin(), links_.end(),
      [near_side](const link& open) { return open.near_side == near_side; });
  if (found == links_.end()) {
    return;
  }
  const link gone = *found;
  links_.erase(found);
  gone.near_side->disconnectFromHost();
  gone.far_side->disconnectFromHost();
  gone.near_side->deleteLater();
  gone.far_side->deleteLater();
}

}  // namespace jayrill::scenario
