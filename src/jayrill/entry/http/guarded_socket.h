#ifndef JAYRILL_ENTRY_HTTP_GUARDED_SOCKET_H_
#define JAYRILL_ENTRY_HTTP_GUARDED_SOCKET_H_

#include <QtCore/QByteArray>
#include <QtCore/QTimer>
#include <QtNetwork/QTcpSocket>
#include <functional>

#include "jayrill/base/clock.h"
#include "jayrill/entry/http/http_exchange.h"
#include "jayrill/entry/http/http_framer.h"
#include "jayrill/entry/http/http_limits.h"
#include "jayrill/session/connection_input.h"

namespace jayrill {

/// The socket that QHttpServer uses. It wraps the TCP socket of a connection
/// and passes one complete and checked request at a time to QHttpServer. Used
/// on the Qt main thread only.
///
/// It works around the behaviour of QHttpServer 6.4.2 with a plain QTcpSocket,
/// as observed in experiments:
/// - a reply to a caller that has disconnected uses the deleted socket and
///   crashes;
/// - while a reply is pending, a pipelined request is handled and answered at
///   once, so the replies are sent in the wrong order;
/// - bodies and headers of any size are buffered (50 MB were), and there is no
///   time limit for a request;
/// - after `Connection: close` or HTTP/1.0 the connection stays open;
/// - `Expect: 100-continue` is never answered, and HEAD gets a body;
/// - a negative Content-Length leaves the body to be read as a new request;
/// - malformed input closes the connection without a response;
/// - a caller that only closes its sending side is treated as disconnected;
/// - a server that is deleted while a reply is pending deletes the socket.
class guarded_socket final : public QTcpSocket {
 public:
  /// State that the sockets of one server share.
  struct shared_state {
    const clock& time;
    const loop_progress& loop;  ///< Of the loop that serves the sockets.
    http_limits limits;
    std::size_t buffered_bytes = 0;  ///< In the buffers of all sockets.
    bool stopping = false;
    std::function<void(const std::string&)> on_refusal{};  ///< Gets the code.
    /// Called when a socket is destroyed. The signal destroyed() cannot be
    /// used, since QHttpServer may disconnect every receiver of a socket.
    std::function<void(guarded_socket&)> on_closed{};
  };

  /// Takes over the connection \p descriptor.
  guarded_socket(qintptr descriptor, shared_state& shared);
  ~guarded_socket() override;

  /// Called before a handler gets the request. If the connection is lost before
  /// the reply, \p exchange is told.
  void BeginExchange(exchange_ptr exchange);

  /// Called when the reply was written to this socket.
  void EndExchange();

  /// Closes the connection now if no request is being read or handled, else
  /// after the reply.
  void Stop();

  /// \returns whether the caller has closed or reset the connection, and
  /// everything that it has sent was read. The event loop tells it only after
  /// the request.
  caller_state Caller() const;

  /// \returns the times of the request that QHttpServer is reading.
  const request_times& times() const { return times_; }
  /// \returns how long this request has waited, at most.
  std::chrono::milliseconds waited() const { return waited_; }

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
    kHandling,   ///< A handler has the request; the reply is pending.
    kWriting,    ///< The reply is being sent.
    kLingering,  ///< The last response is being sent; input is dropped.
    kClosed,
  };

  void OnReadable();
  void OnWritten();
  void OnTimeout();
  void ReadRequests();
  /// Passes the first \p size bytes of the buffer to QHttpServer as one
  /// request.
  void Deliver(std::size_t size);

  /// Sends \p refusal and closes the connection through Linger().
  void Refuse(const http_refusal& refusal);

  /// Closes the sending side once everything is sent, and drops input until the
  /// caller closes its side or the linger timeout ends.
  void Linger();

  /// Ends the exchange and schedules the deletion of this object.
  void Finish();

  /// Replaces buffer_ and updates the count of the shared state.
  void SetBuffer(QByteArray buffer);

  QTcpSocket inner_;
  shared_state& shared_;
  http_framer framer_;
  QTimer timer_;
  QByteArray buffer_;     ///< Received, not yet passed to QHttpServer.
  QByteArray delivered_;  ///< The request that QHttpServer is reading.
  qint64 delivered_read_size_ = 0;  ///< Bytes of it that were read.
  bool receiving_ = false;  ///< A request has begun and is not complete.
  connection_input input_;
  request_times times_;                 ///< Of the current request.
  std::chrono::milliseconds waited_{};  ///< Of the current request.
  exchange_ptr exchange_;
  state state_ = state::kReading;
  bool close_after_reply_ = false;
  bool continue_sent_ = false;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_HTTP_GUARDED_SOCKET_H_
