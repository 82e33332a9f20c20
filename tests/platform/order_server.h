#ifndef JAYRILL_TESTS_PLATFORM_ORDER_SERVER_H_
#define JAYRILL_TESTS_PLATFORM_ORDER_SERVER_H_

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <optional>
#include <string>

#include "platform/minion_calls.h"
#include "qt_wait.h"

namespace jayrill::platform {

/// A server that gives the same answer to each order and keeps the last one.
class order_server {
 public:
  order_server(const std::string& status, const std::string& body)
      : answer_("HTTP/1.1 " + status + "\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body) {
    WaitFor([] { return true; });  // Creates the QCoreApplication.
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      QTcpSocket* const connection = server_.nextPendingConnection();
      QObject::connect(connection, &QTcpSocket::readyRead, connection,
                       [this, connection] { Answer(*connection); });
    });
  }

  announcement Minion() const {
    announcement minion;
    minion.instance = "i-7f3a91c2";
    minion.host = "127.0.0.1";
    minion.port = server_.serverPort();
    return minion;
  }

  /// \returns the body of the last order.
  const QByteArray& last_order() const { return last_order_; }

  /// \returns the request line and the headers of the last order.
  const QByteArray& last_header() const { return last_header_; }

 private:
  void Answer(QTcpSocket& connection) {
    received_ += connection.readAll();
    const qsizetype header_size = received_.indexOf("\r\n\r\n") + 4;
    // The body of the order has no inner objects, so a brace ends it.
    if (header_size < 4 || !received_.endsWith('}')) {
      return;
    }
    last_header_ = received_.left(header_size);
    last_order_ = received_.mid(header_size);
    received_.clear();
    connection.write(QByteArray::fromStdString(answer_));
  }

  const std::string answer_;
  QTcpServer server_;
  QByteArray received_;
  QByteArray last_order_;
  QByteArray last_header_;
};

/// Sends an order with \p payload to \p server.
inline std::optional<order_answer> SendOrder(const order_server& server,
                                             const std::string& payload) {
  minion_calls calls;
  calls.SetMinion(server.Minion());
  std::optional<order_answer> answer;
  calls.Start({{"5c0e7a21d94b36f8", 0, 1}, payload, 7, minion_time(1000)},
              [&](order_answer result) { answer = result; });
  WaitFor([&] { return answer.has_value(); });
  return answer;
}

}  // namespace jayrill::platform

#endif  // JAYRILL_TESTS_PLATFORM_ORDER_SERVER_H_
