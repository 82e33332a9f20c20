#ifndef TESTS_SUPPORT_STORE_STANDIN_HTTP_CONNECTION_H_
#define TESTS_SUPPORT_STORE_STANDIN_HTTP_CONNECTION_H_

#include <QByteArray>
#include <QJsonObject>
#include <QObject>
#include <QTcpSocket>
#include <functional>

namespace jayrill::standin {

/// One connection of a caller: reads requests and writes answers with a length,
/// or an answer without an end in chunks.
class http_connection : public QObject {
 public:
  struct request {
    QByteArray method;
    QByteArray path;
    QByteArray body;
  };
  using request_handler = std::function<void(http_connection&, request)>;

  /// Takes over \p socket and deletes itself when it is closed.
  http_connection(QTcpSocket* socket, request_handler handler);

  void Answer(int status, const QJsonObject& body);
  void StartStream();
  void WriteStream(const QJsonObject& line);

  /// Closes the connection without an answer.
  void Abort();

 private:
  void OnData();
  bool TakeRequest(request& next);

  QTcpSocket* socket_;
  request_handler handler_;
  QByteArray buffer_;
  bool answering_ = false;
};

}  // namespace jayrill::standin

#endif  // TESTS_SUPPORT_STORE_STANDIN_HTTP_CONNECTION_H_
