#include "http_connection.h"

#include <QJsonDocument>
#include <QList>
#include <utility>

namespace jayrill::standin {

namespace {

QByteArray Compact(const QJsonObject& json) {
  return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

qsizetype ContentLength(const QByteArray& head) {
  for (const QByteArray& line : head.split('\n')) {
    if (line.toLower().startsWith("content-length:")) {
      return line.mid(line.indexOf(':') + 1).trimmed().toLongLong();
    }
  }
  return 0;
}

}  // namespace

http_connection::http_connection(QTcpSocket* socket, request_handler handler)
    : socket_(socket), handler_(std::move(handler)) {
  socket_->setParent(this);
  connect(socket_, &QTcpSocket::readyRead, this, [this] { OnData(); });
  connect(socket_, &QTcpSocket::disconnected, this, [this] { deleteLater(); });
}

void http_connection::OnData() {
  buffer_ += socket_->readAll();
  request next;
  if (!answering_ && TakeRequest(next)) {
    answering_ = true;
    handler_(*this, std::move(next));
  }
}

bool http_connection::TakeRequest(request& next) {
  const qsizetype end = buffer_.indexOf("\r\n\r\n");
  if (end < 0) {
    return false;
  }
  const QByteArray head = buffer_.left(end);
  const qsizetype length = ContentLength(head);
  if (buffer_.size() < end + 4 + length) {
    return false;
  }
  const QList<QByteArray> words = head.left(head.indexOf('\r')).split(' ');
  next = {words.value(0), words.value(1), buffer_.mid(end + 4, length)};
  buffer_.remove(0, end + 4 + length);
  return true;
}

void http_connection::Answer(int status, const QJsonObject& body) {
  const QByteArray text = Compact(body);
  socket_->write("HTTP/1.1 " + QByteArray::number(status) +
                 " Status\r\nContent-Type: application/json\r\n"
                 "Content-Length: " +
                 QByteArray::number(text.size()) + "\r\n\r\n" + text);
  answering_ = false;
  if (!buffer_.isEmpty()) {
    OnData();
  }
}

void http_connection::StartStream() {
  socket_->write(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
}

void http_connection::WriteStream(const QJsonObject& line) {
  const QByteArray text = Compact(line) + '\n';
  socket_->write(QByteArray::number(text.size(), 16) + "\r\n" + text + "\r\n");
}

void http_connection::Abort() {
  socket_->abort();
}

}  // namespace jayrill::standin
