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
// Content-Length of an endless answer. It exceeds the limits on bodies, so that
// a receiver has to give up before the end.
constexpr qsizetype kEndlessBytes = 64 << 20;

// Limit of the run time of a task, with the slowness applied.
constexpr double kMaxRunTimeMs = 600'000;

QByteArray Response(int status, const QByteArray& body, qsizetype length) {
  return "HTTP/1.1 " + QByteArray::number(status) +
         " Status\r\nContent-Type: application/json\r\nContent-Length: " +
         QByteArray::number(length) + "\r\n\r\n" + body;
}

void WriteAnswer(QTcpSocket* socket, int status, const QByteArray& body) {
  socket->write(Response(status, body, body.size()));
}

// Answers with a body that goes on while the connection is open: the next chunk
// is written whenever less than one chunk is left to send.
void WriteEndlessAnswer(QTcpSocket* socket) {
  socket->write(Response(200, "[", kEndlessBytes));
  const auto write_chunk = [socket] {
    if (socket->bytesToWrite() < kEndlessChunkBytes) {
      socket->write(QByteArray(kEndlessChunkBytes, ' '));
    }
  };
  QObject::connect(socket, &QTcpSocket::bytesWritten, socket, write_chunk);
  write_chunk();
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
    WriteAnswer(socket, 200, record_.ToJson());
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
  WriteAnswer(socket, 404, R"({"error":"no such resource"})");
}

void sample_server::HandleFault(const QHttpServerRequest& request,
                                QTcpSocket* socket) {
  const auto fault = ParseSampleFault(request.body().toStdString());
  if (!fault) {
    WriteAnswer(socket, 400, R"({"error":"no such fault"})");
    return;
  }
  fault_ = *fault;
  WriteAnswer(socket, 200, "{}");
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
    record_.AddToTotal();
  }
  const double work_ms = fields[QLatin1String("work_ms")].toDouble(0);
  const QByteArray answer = "{\"task\":" + QByteArray::number(task.toInt()) +
                            ",\"echo\":" + payload + "}";
  ++running_;
  if (fault_ == sample_fault::kFail) {
    FinishTask(socket, answer);
    return;
  }
  const double run_time_ms =
      std::clamp(work_ms * settings_.slowness, 0.0, kMaxRunTimeMs);
  QTimer::singleShot(std::chrono::milliseconds(std::llround(run_time_ms)),
                     Qt::PreciseTimer, this,
                     [this, target = QPointer<QTcpSocket>(socket), answer] {
                       FinishTask(target, answer);
                     });
}

void sample_server::FinishTask(const QPointer<QTcpSocket>& socket,
                               const QByteArray& answer) {
  --running_;
  if (socket.isNull()) {
    return;
  }
  if (fault_ == sample_fault::kNone) {
    WriteAnswer(socket, 200, answer);
  } else {
    ApplyFault(socket, answer);
  }
}

void sample_server::ApplyFault(QTcpSocket* socket, const QByteArray& answer) {
  switch (fault_) {
    case sample_fault::kNone:
    case sample_fault::kNever:
      break;
    case sample_fault::kFail:
      WriteAnswer(socket, 500, R"({"error":"set to fail"})");
      break;
    case sample_fault::kNotJson:
      WriteAnswer(socket, 200, "{not json");
      break;
    case sample_fault::kNotHttp:
      socket->write("this is not HTTP\r\n\r\n");
      socket->disconnectFromHost();
      break;
    case sample_fault::kEndless:
      WriteEndlessAnswer(socket);
      break;
    case sample_fault::kHuge:
      WriteAnswer(socket, 200, '"' + QByteArray(kHugeBytes, 'x') + '"');
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
