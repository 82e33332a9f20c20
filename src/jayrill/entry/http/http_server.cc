#include "jayrill/entry/http/http_server.h"

#include <QtCore/QMetaEnum>
#include <memory>
#include <utility>

#include "jayrill/job/job_codec.h"

namespace jayrill {
namespace {

http_request CopyRequest(const QHttpServerRequest& request,
                         const guarded_socket& socket) {
  http_request copy;
  copy.times = socket.times();
  copy.waited = socket.waited();
  copy.caller = socket.Caller();
  copy.method = QMetaEnum::fromType<QHttpServerRequest::Method>().valueToKey(
      static_cast<int>(request.method()));
  copy.path = request.url().path().toStdString();
  for (const auto& [name, value] : request.headers()) {
    copy.headers.emplace(name.toLower().toStdString(), value.toStdString());
  }
  copy.body = request.body();
  return copy;
}

void WriteResponse(QHttpServerResponder& responder,
                   const http_response& response,
                   bool close_connection) {
  const auto status =
      static_cast<QHttpServerResponder::StatusCode>(response.status);
  const QByteArray body = QByteArray::fromStdString(response.body);
  const QByteArray type = QByteArray::fromStdString(response.content_type);
  const QByteArray connection = close_connection ? "close" : "keep-alive";
  if (response.retry_after.count() == 0) {
    responder.write(body, {{"Content-Type", type}, {"Connection", connection}},
                    status);
    return;
  }
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(response.retry_after);
  responder.write(body,
                  {{"Content-Type", type},
                   {"Connection", connection},
                   {"Retry-After",
                    QByteArray::number(static_cast<qint64>(seconds.count()))}},
                  status);
}

int StatusOf(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalidArgument:
      return 400;
    case error_kind::kUnauthorized:
      return 401;
    case error_kind::kNotFound:
      return 404;
    case error_kind::kConflict:
      return 409;
    case error_kind::kLimitExceeded:
      return 429;
    case error_kind::kUnavailable:
      return 503;
    case error_kind::kDeadlineExceeded:
    case error_kind::kUnknownOutcome:
      return 504;
    case error_kind::kInternal:
      return 500;
  }
  return 500;
}

}  // namespace

http_response ErrorResponse(const error& failure) {
  return {StatusOf(failure.kind),
          "{\"error\":{\"code\":" + QuoteJson(ToString(failure.kind)) +
              ",\"message\":" + QuoteJson(failure.message) +
              ",\"remedy\":" + QuoteJson(failure.remedy) + "}}",
          "application/json"};
}

http_server::http_server(http_limits limits,
                         metric_registry& metrics,
                         const clock& time,
                         const loop_progress& loop)
    : guard_(std::make_unique<http_guard>(limits, metrics, time, loop)) {
  server_.setMissingHandler(
      [](const QHttpServerRequest& request, QHttpServerResponder&& responder) {
        StartExchange(
            [](const exchange_ptr& exchange) {
              exchange->Reply(
                  ErrorResponse({error_kind::kNotFound,
                                 "there is no " + exchange->request().method +
                                     " " + exchange->request().path,
                                 "see docs/api.md for the methods and paths"}));
            },
            request, std::move(responder));
      });
}

void http_server::Route(const std::string& path,
                        QHttpServerRequest::Methods methods,
                        const handler& handle) {
  const QString pattern = QString::fromStdString(path);
  if (path.find("<arg>") == std::string::npos) {
    server_.route(pattern, methods,
                  [handle](const QHttpServerRequest& request,
                           QHttpServerResponder&& responder) {
                    StartExchange(handle, request, std::move(responder));
                  });
  } else {
    // The segment is not passed on: handlers read it from the request path.
    server_.route(pattern, methods,
                  [handle](const QString&, const QHttpServerRequest& request,
                           QHttpServerResponder&& responder) {
                    StartExchange(handle, request, std::move(responder));
                  });
  }
}

void http_server::StartExchange(const handler& handle,
                                const QHttpServerRequest& request,
                                QHttpServerResponder&& responder) {
  auto* socket = static_cast<guarded_socket*>(responder.socket());
  const auto shared_responder =
      std::make_shared<QHttpServerResponder>(std::move(responder));
  // Before the socket is deleted, it marks the exchange as disconnected, so the
  // writer never uses a deleted socket.
  const exchange_ptr exchange(new http_exchange(
      CopyRequest(request, *socket),
      [shared_responder, socket](const http_response& response) {
        WriteResponse(*shared_responder, response, socket->ClosesAfterReply());
        socket->EndExchange();
      }));
  socket->BeginExchange(exchange);
  handle(exchange);
}

void http_server::RouteUnmatched(const handler& handle) {
  server_.setMissingHandler([handle](const QHttpServerRequest& request,
                                     QHttpServerResponder&& responder) {
    StartExchange(handle, request, std::move(responder));
  });
}

result<std::uint16_t> http_server::Listen(const std::string& address,
                                          std::uint16_t port) {
  if (!guard_->listen(QHostAddress(QString::fromStdString(address)), port)) {
    return MakeError(error_kind::kUnavailable,
                     "cannot listen on " + address + ":" +
                         std::to_string(port) + ": " +
                         guard_->errorString().toStdString(),
                     "choose an address of this machine and a free port");
  }
  // After listen(), because bind() logs a warning unless the guard listens.
  server_.bind(guard_.get());
  return guard_->serverPort();
}

void http_server::Stop(std::function<void()> stopped) {
  guard_->Stop(std::move(stopped));
}

}  // namespace jayrill
