#include "jayrill/entry/http/guarded_socket.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace jayrill {
namespace {

// Limits the memory that one connection uses beside its request. While a
// request is handled, further bytes stay in this read buffer and, when it is
// full, in the kernel.
constexpr qint64 kReadBufferBytes = qint64{64} * 1024;

}  // namespace

guarded_socket::guarded_socket(qintptr descriptor, shared_state& shared)
    : shared_(shared),
      framer_(shared.limits.max_header_bytes, shared.limits.max_body_bytes),
      input_(shared.time, shared.loop) {
  inner_.setReadBufferSize(kReadBufferBytes);
  inner_.setSocketDescriptor(descriptor);
  inner_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  inner_.setSocketOption(QAbstractSocket::KeepAliveOption, 1);
  setOpenMode(QIODevice::ReadWrite | QIODevice::Unbuffered);
  setSocketState(QAbstractSocket::ConnectedState);
  setPeerAddress(inner_.peerAddress());
  timer_.setSingleShot(true);
  connect(&inner_, &QTcpSocket::readyRead, this, [this] { OnReadable(); });
  connect(&inner_, &QTcpSocket::bytesWritten, this, [this] { OnWritten(); });
  connect(&inner_, &QTcpSocket::disconnected, this, [this] { Finish(); });
  connect(&timer_, &QTimer::timeout, this, [this] { OnTimeout(); });
  timer_.start(shared_.limits.idle_timeout);
  times_.accepted = input_.accepted();
}

guarded_socket::~guarded_socket() {
  inner_.disconnect(this);
  SetBuffer({});
  if (exchange_) {
    std::exchange(exchange_, nullptr)->MarkDisconnected();
  }
  // The base class would otherwise close a connection that it does not have.
  setSocketState(QAbstractSocket::UnconnectedState);
  shared_.on_closed(*this);
}

void guarded_socket::BeginExchange(exchange_ptr exchange) {
  exchange_ = std::move(exchange);
}

void guarded_socket::EndExchange() {
  exchange_ = nullptr;
  if (state_ != state::kHandling) {
    return;
  }
  state_ = state::kWriting;
  timer_.start(shared_.limits.write_timeout);
  inner_.flush();
  // Queued, because QHttpServer is still on the stack when a handler replies
  // at once, and because many pipelined requests would recurse deeply.
  QMetaObject::invokeMethod(
      this, [this] { OnWritten(); }, Qt::QueuedConnection);
}

caller_state guarded_socket::Caller() const {
  if (inner_.bytesAvailable() > 0) {
    return caller_state::kConnected;
  }
  char next = 0;
  const auto size = ::recv(static_cast<int>(inner_.socketDescriptor()), &next,
                           1, MSG_PEEK | MSG_DONTWAIT);
  if (size == 0) {
    return caller_state::kClosed;
  }
  const bool is_reset = size < 0 && errno != EAGAIN && errno != EINTR;
  return is_reset ? caller_state::kReset : caller_state::kConnected;
}

bool guarded_socket::ClosesAfterReply() const {
  return close_after_reply_ || shared_.stopping;
}

void guarded_socket::Stop() {
  // A request of which the first bytes are still in the kernel is answered.
  char first = 0;
  const bool waiting = ::recv(static_cast<int>(inner_.socketDescriptor()),
                              &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  if (state_ == state::kReading && buffer_.isEmpty() &&
      inner_.bytesAvailable() == 0 && !waiting) {
    inner_.disconnectFromHost();
  }
}

qint64 guarded_socket::bytesAvailable() const {
  return QAbstractSocket::bytesAvailable() + delivered_.size() -
         delivered_read_size_;
}

qint64 guarded_socket::bytesToWrite() const {
  return inner_.bytesToWrite();
}

void guarded_socket::disconnectFromHost() {
  inner_.disconnectFromHost();
}

qint64 guarded_socket::readData(char* data, qint64 max_size) {
  const qint64 size =
      std::min<qint64>(max_size, delivered_.size() - delivered_read_size_);
  if (size > 0) {
    std::memcpy(data, delivered_.constData() + delivered_read_size_,
                static_cast<std::size_t>(size));
    delivered_read_size_ += size;
  }
  return size;
}

qint64 guarded_socket::writeData(const char* data, qint64 size) {
  // Bytes for a closed connection are dropped but reported as written.
  return state_ == state::kHandling ? inner_.write(data, size) : size;
}

void guarded_socket::OnReadable() {
  input_.OnReadable();
  if (state_ == state::kLingering) {
    inner_.readAll();
  } else if (state_ == state::kReading) {
    ReadRequests();
  }
}

void guarded_socket::ReadRequests() {
  const QByteArray arrived = inner_.readAll();
  input_.OnRead(static_cast<std::size_t>(arrived.size()));
  shared_.buffered_bytes += static_cast<std::size_t>(arrived.size());
  buffer_.append(arrived);
  while (buffer_.startsWith("\r\n")) {
    SetBuffer(buffer_.mid(2));  // Some callers end a body with an empty line.
    input_.OnTaken(2);
  }
  if (buffer_.isEmpty()) {
    return;
  }
  if (!std::exchange(receiving_, true)) {
    times_.first_byte = shared_.time.Now();
    timer_.start(shared_.limits.request_timeout);
  }
  const auto size = static_cast<std::size_t>(buffer_.size());
  if (auto refusal = framer_.Examine({buffer_.constData(), size})) {
    Refuse(*refusal);
  } else if (const std::size_t complete = framer_.CompleteSize(size)) {
    Deliver(complete);
  } else if (shared_.buffered_bytes > shared_.limits.max_buffered_bytes) {
    Refuse({503, "busy", "too many requests are being received",
            "submit again later"});
  } else if (framer_.expects_continue() && !continue_sent_) {
    continue_sent_ = true;
    inner_.write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void guarded_socket::Deliver(std::size_t size) {
  receiving_ = false;
  times_.complete = shared_.time.Now();
  waited_ = input_.MaxAge();
  delivered_ = buffer_.left(static_cast<qsizetype>(size));
  delivered_read_size_ = 0;
  SetBuffer(buffer_.mid(static_cast<qsizetype>(size)));
  close_after_reply_ = !framer_.keep_alive();
  framer_.Reset();
  continue_sent_ = false;
  state_ = state::kHandling;
  timer_.stop();
  input_.OnTaken(size);
  Q_EMIT readyRead();
  delivered_.clear();
  delivered_read_size_ = 0;
  // QHttpServer reads the request during the signal. If it has made no exchange
  // and the connection is still open, it could not parse the request.
  if (state_ == state::kHandling && !exchange_) {
    Refuse({400, "invalid_request", "the request cannot be read",
            "correct the request line and the header fields"});
  }
}

void guarded_socket::OnWritten() {
  if (state_ == state::kLingering && inner_.bytesToWrite() == 0) {
    ::shutdown(static_cast<int>(inner_.socketDescriptor()), SHUT_WR);
    return;
  }
  if (state_ != state::kWriting) {
    return;
  }
  if (inner_.bytesToWrite() > 0) {
    timer_.start(shared_.limits.write_timeout);
    return;
  }
  if (ClosesAfterReply()) {
    Linger();
    return;
  }
  state_ = state::kReading;
  timer_.start(shared_.limits.idle_timeout);
  ReadRequests();
}

void guarded_socket::OnTimeout() {
  if (state_ == state::kReading && !buffer_.isEmpty()) {
    Refuse({408, "request_timeout", "the request did not arrive in time",
            "send the whole request within 10 s"});
  } else {
    inner_.abort();
    Finish();
  }
}

void guarded_socket::Refuse(const http_refusal& refusal) {
  shared_.on_refusal(refusal.code);
  inner_.write(QByteArray::fromStdString(EncodeRefusal(refusal)));
  Linger();
}

void guarded_socket::Linger() {
  state_ = state::kLingering;
  SetBuffer({});
  timer_.start(shared_.limits.linger_timeout);
  inner_.flush();
  inner_.readAll();
  OnWritten();
}

void guarded_socket::Finish() {
  if (std::exchange(state_, state::kClosed) == state::kClosed) {
    return;
  }
  timer_.stop();
  SetBuffer({});
  if (exchange_) {
    std::exchange(exchange_, nullptr)->MarkDisconnected();
  }
  setSocketState(QAbstractSocket::UnconnectedState);
  Q_EMIT disconnected();
  deleteLater();
}

void guarded_socket::SetBuffer(QByteArray buffer) {
  shared_.buffered_bytes -= static_cast<std::size_t>(buffer_.size());
  buffer_ = std::move(buffer);
  shared_.buffered_bytes += static_cast<std::size_t>(buffer_.size());
}

}  // namespace jayrill
