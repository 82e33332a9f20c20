#pragma once

// A small HTTP/1.1 server and client on the Qt event loop. The handler of the
// server may answer late or never, which a stand-in needs.

#include <QByteArray>
#include <QElapsedTimer>
#include <QHash>
#include <QHostAddress>
#include <QJsonDocument>
#include <QJsonObject>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <functional>
#include <memory>
#include <utility>

namespace review {

struct http_message {
  QByteArray method;  // Of a request.
  int status = 0;     // Of a response; 0: the connection has ended before it.
  QUrl target;
  QHash<QByteArray, QByteArray> headers;  // Names in lower case.
  QByteArray body;

  QJsonObject Json() const { return QJsonDocument::fromJson(body).object(); }
};

// Removes one whole message from the front of `buffer`.
inline bool TakeMessage(QByteArray& buffer, http_message& message) {
  const qsizetype end = buffer.indexOf("\r\n\r\n");
  if (end < 0) {
    return false;
  }
  const QList<QByteArray> lines = buffer.left(end).split('\n');
  http_message parsed;
  for (qsizetype i = 1; i < lines.size(); ++i) {
    const qsizetype colon = lines[i].indexOf(':');
    parsed.headers.insert(lines[i].left(colon).trimmed().toLower(),
                          lines[i].mid(colon + 1).trimmed());
  }
  const qsizetype size = parsed.headers.value("content-length", "0").toInt();
  if (buffer.size() < end + 4 + size) {
    return false;
  }
  const QList<QByteArray> words = lines[0].trimmed().split(' ');
  if (lines[0].startsWith("HTTP/")) {
    parsed.status = words.value(1).toInt();
  } else {
    parsed.method = words.value(0);
    parsed.target = QUrl::fromEncoded(words.value(1));
  }
  parsed.body = buffer.mid(end + 4, size);
  buffer = buffer.mid(end + 4 + size);
  message = parsed;
  return true;
}

// Sends one response; may be called later, or never.
using reply_function = std::function<void(int, const QJsonObject&)>;

class http_server {
 public:
  using handler = std::function<void(const http_message&, reply_function)>;

  explicit http_server(handler handle) : handle_(std::move(handle)) {
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      while (QTcpSocket* socket = server_.nextPendingConnection()) {
        Serve(socket);
      }
    });
    server_.listen(QHostAddress::LocalHost);
  }

  QString Address() const {
    return QStringLiteral("127.0.0.1:%1").arg(server_.serverPort());
  }

 private:
  void Serve(QTcpSocket* socket) {
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const auto buffer = std::make_shared<QByteArray>();
    QObject::connect(socket, &QTcpSocket::disconnected, socket,
                     &QObject::deleteLater);
    QObject::connect(socket, &QTcpSocket::readyRead, socket,
                     [this, socket, buffer] {
                       buffer->append(socket->readAll());
                       http_message request;
                       while (TakeMessage(*buffer, request)) {
                         handle_(request, Replier(socket));
                       }
                     });
  }

  static reply_function Replier(QTcpSocket* socket) {
    return [target = QPointer<QTcpSocket>(socket)](int status,
                                                   const QJsonObject& json) {
      if (!target) {
        return;
      }
      const QByteArray body =
          QJsonDocument(json).toJson(QJsonDocument::Compact);
      target->write("HTTP/1.1 " + QByteArray::number(status) +
                    " Status\r\nContent-Type: application/json\r\n"
                    "Content-Length: " +
                    QByteArray::number(body.size()) + "\r\n\r\n" + body);
    };
  }

  handler handle_;
  QTcpServer server_;
};

// A request that a client has sent and that has not ended yet.
struct client_call {
  QTcpSocket* socket = nullptr;
  std::function<void(const http_message&)> done;
  QByteArray received;
  bool has_ended = false;

  void End(const http_message& response) {
    if (has_ended) {
      return;
    }
    has_ended = true;
    socket->close();
    socket->deleteLater();
    done(response);
  }
};

// Sends one request on a connection of its own. Without a response within
// `timeout_ms` the client closes the connection and `done` gets status 0.
inline void SendRequest(const QString& address,
                        const QByteArray& method,
                        const QByteArray& target,
                        const QHash<QByteArray, QByteArray>& headers,
                        const QByteArray& body,
                        int timeout_ms,
                        std::function<void(const http_message&)> done) {
  auto* const socket = new QTcpSocket;
  const auto call = std::make_shared<client_call>();
  call->socket = socket;
  call->done = std::move(done);
  QByteArray request = method + ' ' + target + " HTTP/1.1\r\n";
  for (auto it = headers.begin(); it != headers.end(); ++it) {
    request += it.key() + ": " + it.value() + "\r\n";
  }
  request += "Content-Type: application/json\r\nContent-Length: " +
             QByteArray::number(body.size()) + "\r\n\r\n" + body;
  QObject::connect(socket, &QTcpSocket::connected, socket,
                   [socket, request] { socket->write(request); });
  QObject::connect(socket, &QTcpSocket::readyRead, socket, [call] {
    if (call->has_ended) {
      return;
    }
    call->received += call->socket->readAll();
    http_message response;
    if (TakeMessage(call->received, response)) {
      call->End(response);
    }
  });
  QObject::connect(socket, &QTcpSocket::disconnected, socket,
                   [call] { call->End({}); });
  QObject::connect(socket, &QTcpSocket::errorOccurred, socket,
                   [call](QAbstractSocket::SocketError) { call->End({}); });
  QTimer::singleShot(timeout_ms, socket, [call] { call->End({}); });
  const QStringList parts = address.split(u':');
  socket->connectToHost(QHostAddress(parts[0]), parts[1].toUShort());
}

}  // namespace review
