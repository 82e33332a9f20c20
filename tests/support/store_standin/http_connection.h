#ifndef TESTS_SUPPORT_STORE_STANDIN_HTTP_CONNECTION_H_
#define TESTS_SUPPORT_STORE_STANDIN_HTTP_CONNECTION_H_

#include <QByteArray>
#include <QJsonObject>
#include <QObject>
#include <QTcpSocket>
#include <functional>

namespace jayrill::standin {

/// Server side of one HTTP connection: reads requests and writes answers,
/// either with a content length or as an endless stream of chunks. Requests are
/// handled one after the other.
class http_connection : public QObject {
 public:
  struct request {
    QByteArray method;
    QByteArray path;
    QByteArray body;
  };
  using request_handler = std::function<void(http_connection&, request)>;

  /// Takes ownership of \p socket and deletes itself when the socket is closed.
  http_connection(QTcpSocket* socket, request_handler handler);

  void Answer(int status, const QJsonObject& body);
  /// Starts a chunked answer that never ends.
  void StartStream();
  /// Writes \p line as one chunk of the answer.
  void WriteStream(const QJsonObject& line);

  /// Closes the connection without an answer.
  void Abort();

 private:
  void OnData();
  /// Moves the first complete request from the buffer to \p next.
  /// \returns false when none is complete.
  bool TakeRequest(request& next);

  QTcpSocket* socket_;
  request_handler handler_;
  QByteArray buffer_;
  bool answering_ = false;  ///< The handler has not yet answered a request.
};

}  // namespace jayrill::standin

#endif  // TESTS_SUPPORT_STORE_STANDIN_HTTP_CONNECTION_H_
