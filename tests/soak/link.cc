#include "link.h"

#include <QHostAddress>
#include <QTimer>
#include <algorithm>
#include <utility>

namespace jayrill::soak {

link::link(QString target, link_options options)
    : target_(std::move(target)), options_(options) {
  server_.listen(QHostAddress::LocalHost);
  connect(&server_, &QTcpServer::newConnection, this, &link::Accept);
}

QString link::Address() const {
  return QStringLiteral("127.0.0.1:%1").arg(server_.serverPort());
}

bool link::IsCut(direction way) const {
  return (way == direction::kToTarget ? cuts_to_target_ : cuts_from_target_) >
         0;
}

void link::Cut(direction way) {
  ++(way == direction::kToTarget ? cuts_to_target_ : cuts_from_target_);
}

void link::Heal(direction way) {
  --(way == direction::kToTarget ? cuts_to_target_ : cuts_from_target_);
  const std::vector<connection_ptr> connections = connections_;
  for (const connection_ptr& open : connections) {
    Forward(open);
  }
}

void link::SilenceOpenConnections(direction way) {
  for (const connection_ptr& open : connections_) {
    (way == direction::kToTarget ? open->to_target : open->from_target)
        .is_silent = true;
  }
}

void link::ResetOpenConnections() {
  const std::vector<connection_ptr> connections =
      std::exchange(connections_, {});
  for (const connection_ptr& open : connections) {
    open->caller->disconnect(this);
    open->target->disconnect(this);
    open->caller->abort();
    open->target->abort();
  }
}

void link::Refuse() {
  ++refusals_;
  ResetOpenConnections();
}

void link::Accept() {
  while (QTcpSocket* const accepted = server_.nextPendingConnection()) {
    const auto open = std::make_shared<connection>();
    if (refusals_ > 0) {
      accepted->abort();
      accepted->deleteLater();
      continue;
    }
    accepted->setParent(nullptr);
    open->caller.reset(accepted);
    open->target = std::make_unique<QTcpSocket>();
    open->to_target = {accepted, open->target.get()};
    open->from_target = {open->target.get(), accepted};
    open->age.start();
    connections_.push_back(open);
    // The connections own themselves through this link only, so that removing
    // them ends their callbacks.
    const std::weak_ptr<connection> weak = open;
    const auto forward = [this, weak] {
      if (const connection_ptr held = weak.lock()) {
        Forward(held);
      }
    };
    for (QTcpSocket* const socket : {accepted, open->target.get()}) {
      connect(socket, &QTcpSocket::connected, this, forward);
      connect(socket, &QTcpSocket::readyRead, this, forward);
      connect(socket, &QTcpSocket::disconnected, this, forward);
      connect(socket, &QTcpSocket::errorOccurred, this, forward);
      socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    }
    Dial(open);
  }
}

void link::Dial(const connection_ptr& open) {
  if (open->is_dialled) {
    return;
  }
  if (options_.connect_retry.count() > 0 && IsCut(direction::kToTarget)) {
    QTimer::singleShot(UntilNextTry(*open), Qt::PreciseTimer, this,
                       [this, open] { Dial(open); });
    return;
  }
  open->is_dialled = true;
  const QStringList parts = target_.split(u':');
  open->target->connectToHost(QHostAddress(parts[0]), parts[1].toUShort());
}

std::chrono::milliseconds link::UntilNextTry(const connection& open) const {
  const std::chrono::milliseconds age(open.age.elapsed());
  std::chrono::milliseconds next = options_.connect_retry;
  while (next <= age) {
    next = 2 * next + options_.connect_retry;
  }
  return next - age;
}

void link::Forward(const connection_ptr& open) {
  const bool to_target_cut = IsCut(direction::kToTarget);
  const bool from_target_cut = IsCut(direction::kFromTarget);
  Forward(open->to_target, to_target_cut);
  Forward(open->from_target, from_target_cut);
  if (!open->is_dialled) {
    return;
  }
  if (HasEnded(open->to_target, to_target_cut) ||
      HasEnded(open->from_target, from_target_cut)) {
    End(open);
  }
}

void link::Forward(const stream& way, bool is_cut) {
  if (is_cut || way.is_silent || !way.from->isOpen() ||
      way.to->state() != QAbstractSocket::ConnectedState) {
    return;
  }
  const QByteArray bytes = way.from->readAll();
  if (!bytes.isEmpty()) {
    way.to->write(bytes);
    way.to->flush();
  }
}

bool link::HasEnded(const stream& way, bool is_cut) const {
  // The end of a connection is held back like its bytes, and follows them.
  const bool is_dialling =
      way.to->state() == QAbstractSocket::HostLookupState ||
      way.to->state() == QAbstractSocket::ConnectingState;
  return !is_cut && !way.is_silent && !is_dialling &&
         way.from->state() == QAbstractSocket::UnconnectedState;
}

void link::End(const connection_ptr& open) {
  if (options_.end_delay.count() == 0) {
    Remove(open);
  } else if (!std::exchange(open->is_ending, true)) {
    QTimer::singleShot(options_.end_delay, Qt::PreciseTimer, this,
                       [this, open] { Remove(open); });
  }
}

void link::Remove(const connection_ptr& open) {
  if (std::erase(connections_, open) == 0) {
    return;
  }
  for (const auto& socket : {open->caller.get(), open->target.get()}) {
    socket->disconnect(this);
    socket->disconnectFromHost();
  }
  // The signal of one of the sockets may be on the stack.
  QTimer::singleShot(std::chrono::seconds(1), this, [open] {});
}

}  // namespace jayrill::soak
