#ifndef TESTS_SUPPORT_CLOSING_SERVER_H_
#define TESTS_SUPPORT_CLOSING_SERVER_H_

#include <QByteArray>
#include <QHostAddress>
#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <string>

namespace jayrill {

/// Reads requests whole and closes the connection of one of them without an
/// answer. Answers all others: with status 200 before that one, with status 503
/// after it.
class closing_server {
 public:
  /// \p unanswered: number of the request without an answer, from 1.
  explicit closing_server(int unanswered) : unanswered_(unanswered) {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      QTcpSocket* const connection = server_.nextPendingConnection();
      QObject::connect(connection, &QTcpSocket::readyRead, connection,
                       [this, connection] { Read(*connection); });
    });
  }

  std::uint16_t port() const { return server_.serverPort(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  int requests() const { return requests_; }

 private:
  void Read(QTcpSocket& connection) {
    received_ += connection.readAll();
    // The bodies in tests have no inner objects, so a brace ends one.
    if (!received_.endsWith('}')) {
      return;
    }
    received_.clear();
    ++requests_;
    if (requests_ == unanswered_) {
      connection.close();
    } else if (requests_ < unanswered_) {
      connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    } else {
      connection.write(
          "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}");
    }
  }

  int unanswered_;
  QTcpServer server_;
  QByteArray received_;
  int requests_ = 0;
};

}  // namespace jayrill

#endif  // TESTS_SUPPORT_CLOSING_SERVER_H_
