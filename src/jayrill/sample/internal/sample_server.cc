#include "jayrill/sample/internal/sample_server.h"

#include <QHttpServerRequest>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <QUrl>
#include <algorithm>
#include <cmath>

namespace jayrill::sample::internal {

namespace {

constexpr qsizetype kHugeBytes = 9 << 20;
constexpr qsizetype kEndlessChunkBytes = 64 << 10;
// Enough to exceed every limit; the rest of the body never comes.
constexpr qsizetype kEndlessBytes = 64 << 20;

// Longest run time that a payload can ask for.
constexpr double kLongestWorkMs = 600'000;

QByteArray Response(int status, const QByteArray& body, qsizetype length) {
  return "HTTP/1.1 " + QByteArray::number(status) +
         " Status\r\nContent-Type: application/json\r\nContent-Length: " +
         QByteArray::number(length) + "\r\n\r\n" + body;
}

void Write(QTcpSocket* socket, int status, const QByteArray& body) {
  socket->write(Response(status, body, body.size()));
}

// Writes a piece of the endless body whenever the previous one was sent.
void WriteEndless(QTcpSocket* socket) {
  socket->write(Response(200, "[", kEndlessBytes));
  const auto more = [socket] {
    if (socket->bytesToWrite() < kEndlessChunkBytes) {
      socket->write(QByteArray(kEndlessChunkBytes, ' '));
    }
  };
  QObject::connect(socket, &QTcpSocket::bytesWritten, socket, more);
  more();
}

}  // namespace

bool sample_server::handleRequest(const QHttpServerRequest& request,
                                  QTcpSocket* socket) {
  using method = QHttpServerRequest::Method;
  const QString path = request.url().path();
  if (request.method() == method::Post && path == QLatin1String("/run")) {
    HandleRun(request, socket);
  } else if (request.method() == method::Get &&
             path == QLatin1String("/executions")) {
    Write(socket, 200, record_.ToJson());
  } else if (request.method() == method::Post &&
             path == QLatin1String("/fault")) {
    HandleFault(request, socket);
  } else {
    return false;
  }
  return true;
}

void sample_server::missingHandler(const QHttpServerRequest&,
                                   QTcpSocket* socket) {
  Write(socket, 404, R"({"error":"no such resource"})");
}

void sample_server::HandleFault(const QHttpServerRequest& request,
                                QTcpSocket* socket) {
  const auto fault = ParseSampleFault(request.body().toStdString());
  if (!fault) {
    Write(socket, 400, R"({"error":"no such fault"})");
    return;
  }
  fault_ = *fault;
  Write(socket, 200, "{}");
}

void sample_server::HandleRun(const QHttpServerRequest& request,
                              QTcpSocket* socket) {
  const QByteArray task = request.value("Jayrill-Task");
  const QByteArray payload = request.body();
  const QJsonDocument fields = QJsonDocument::fromJson(payload);
  if (settings_.record) {
    record_.Add(request.value("Jayrill-Job").toStdString(), task.toStdString(),
                fields[QLatin1String("tag")].toString().toStdString(),
                time_.WallNow());
  } else {
    record_.AddUnnamed();
  }
  const double work = fields[QLatin1String("work_ms")].toDouble(0);
  const QByteArray answer = "{\"task\":" + QByteArray::number(task.toInt()) +
                            ",\"echo\":" + payload + "}";
  ++running_;
  if (fault_ == sample_fault::kFail) {
    Finish(socket, answer);
    return;
  }
  const double scaled =
      std::clamp(work * settings_.slowness, 0.0, kLongestWorkMs);
  QTimer::singleShot(std::chrono::milliseconds(std::llround(scaled)),
                     Qt::PreciseTimer, this,
                     [this, target = QPointer<QTcpSocket>(socket), answer] {
                       Finish(target, answer);
                     });
}

void sample_server::Finish(const QPointer<QTcpSocket>& socket,
                           const QByteArray& answer) {
  --running_;
  if (socket.isNull()) {
    return;
  }
  if (fault_ == sample_fault::kNone) {
    Write(socket, 200, answer);
  } else {
    Misbehave(socket, answer);
  }
}

void sample_server::Misbehave(QTcpSocket* socket, const QByteArray& answer) {
  switch (fault_) {
    case sample_fault::kNone:
    case sample_fault::kNever:
      break;
    case sample_fault::kFail:
      Write(socket, 500, R"({"error":"set to fail"})");
      break;
    case sample_fault::kNotJson:
      Write(socket, 200, "{not json");
      break;
    case sample_fault::kNotHttp:
      socket->write("this is not HTTP\r\n\r\n");
      socket->disconnectFromHost();
      break;
    case sample_fault::kEndless:
      WriteEndless(socket);
      break;
    case sample_fault::kHuge:
      Write(socket, 200, '"' + QByteArray(kHugeBytes, 'x') + '"');
      break;
    case sample_fault::kDrop:
      socket->disconnectFromHost();
      break;
    case sample_fault::kReset:
      socket->abort();
      break;
    case sample_fault::kTruncate:
      socket->write(Response(200, answer, answer.size() + 1));
      socket->disconnectFromHost();
      break;
  }
}

}  // namespace jayrill::sample::internal
