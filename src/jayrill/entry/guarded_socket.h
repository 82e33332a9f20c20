#ifndef JAYRILL_ENTRY_GUARDED_SOCKET_H_
#define JAYRILL_ENTRY_GUARDED_SOCKET_H_

#include <QtCore/QByteArray>
#include <QtCore/QTimer>
#include <QtNetwork/QTcpSocket>
#include <functional>

#include "jayrill/entry/http_exchange.h"
#include "jayrill/entry/http_framer.h"
#include "jayrill/entry/http_limits.h"

namespace jayrill {

/// The socket that QHttpServer sees. It stands in front of the real one and
/// hands on one whole, checked request at a time.
///
/// What QHttpServer 6.4.2 does with a plain QTcpSocket, found by experiment:
/// - a reply to a caller that has gone uses the deleted socket and crashes;
/// - while a reply is pending, a pipelined request is handled and answered at
///   once, so the answers change places;
/// - bodies and headers of any size are collected (50 MB were), and a request
///   may take forever;
/// - after `Connection: close` or HTTP/1.0 the connection stays open;
/// - `Expect: 100-continue` is never answered, and HEAD gets a body;
/// - a negative Content-Length leaves the body to be read as a new request;
/// - garbage is answered by closing the connection without a message;
/// - a caller that only closes its sending side is treated as gone;
/// - a server that is deleted while a reply is pending deletes the socket.
class guarded_socket final : public QTcpSocket {
 public:
  /// What the sockets of one server share.
  struct shared_state {
    http_limits limits;
    std::size_t buffered = 0;  ///< Bytes of requests that are incomplete.
    bool stopping = false;
    std::function<void(const std::string&)> on_refusal;  ///< Gets the code.
    /// Called at the end of each socket. The signal destroyed() would not do,
    /// since QHttpServer may disconnect every receiver of a socket.
    std::function<void(guarded_socket&)> on_closed;
  };

  /// Takes over the connection \p descriptor.
  guarded_socket(qintptr descriptor, shared_state& shared);
  ~guarded_socket() override;

  /// QHttpServer has handed the request to a handler.
  void BeginExchange(exchange_ptr exchange);

  /// The reply was written.
  void EndExchange();

  /// Closes now if no request is being read or handled, else after its reply.
  void Stop();

  /// \returns true when the connection is closed after the current reply.
  bool ClosesAfterReply() const;

  qint64 bytesAvailable() const override;
  qint64 bytesToWrite() const override;
  void disconnectFromHost() override;

 protected:
  qint64 readData(char* data, qint64 max_size) override;
  qint64 writeData(const char* data, qint64 size) override;

 private:
  enum class state {
    kReading,    ///< Waits for a request or for the rest of one.
    kHandling,   ///< A handler owes the reply.
    kWriting,    ///< The reply is on its way.
    kLingering,  ///< Refused; what still arrives is dropped.
    kClosed,
  };

  void OnReadable();
  void OnWritten();
  void OnTimeout();
  void ReadRequests();
  void Deliver(std::size_t size);
  void Refuse(const http_refusal& refusal);
  void Linger();
  void Finish();
  void SetBuffer(QByteArray buffer);

  QTcpSocket inner_;
  shared_state& shared_;
  http_framer framer_;
  QTimer timer_;
  QByteArray buffer_;          ///< Bytes that were read and not handed on.
  QByteArray delivered_;       ///< The request that QHttpServer reads.
  qint64 delivered_size_ = 0;  ///< What it has read of it.
  bool receiving_ = false;     ///< A request has begun and is not complete.
  exchange_ptr exchange_;
  state state_ = state::kReading;
  bool close_after_reply_ = false;
  bool continue_sent_ = false;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_GUARDED_SOCKET_H_
