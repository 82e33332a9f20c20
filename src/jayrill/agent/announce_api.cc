#include "jayrill/agent/announce_api.h"

#include <QHostAddress>
#include <QJsonObject>
#include <QUrl>
#include <utility>

namespace jayrill {

namespace {

QHttpServerResponse ErrorResponse(const error& failure) {
  const QJsonObject detail{
      {QStringLiteral("code"),
       QString::fromUtf8(ToString(failure.kind).data())},
      {QStringLiteral("message"), QString::fromStdString(failure.message)},
      {QStringLiteral("remedy"), QString::fromStdString(failure.remedy)}};
  return {QJsonObject{{QStringLiteral("error"), detail}},
          QHttpServerResponse::StatusCode::BadRequest};
}

}  // namespace

announce_api::announce_api(std::chrono::milliseconds ttl,
                           listener callbacks,
                           const route_adder& add_routes)
    : ttl_(ttl), listener_(std::move(callbacks)) {
  using method = QHttpServerRequest::Method;
  server_.route(QStringLiteral("/v1/announce"), method::Post,
                [this](const QHttpServerRequest& request) {
                  return HandleAnnounce(request);
                });
  server_.route(QStringLiteral("/v1/leave"), method::Post,
                [this] { return HandleLeave(); });
  server_.route(QStringLiteral("/healthz"), method::Get, [] {
    return QHttpServerResponse(
        QJsonObject{{QStringLiteral("status"), QStringLiteral("ok")}});
  });
  server_.route(QStringLiteral("/metrics"), method::Get, [this] {
    return QHttpServerResponse(QByteArrayLiteral("text/plain; version=0.0.4"),
                               QByteArray::fromStdString(listener_.metrics()));
  });
  if (add_routes) {
    add_routes(server_, listener_);
  }
}

result<void> announce_api::Listen(const std::string& address) {
  const QUrl url(QStringLiteral("http://") + QString::fromStdString(address));
  const QHostAddress host(url.host());
  if (host.isNull() || url.port(-1) < 0) {
    return MakeError(error_kind::kInvalidArgument,
                     "the agent's HTTP address is not IP:port: " + address,
                     "give an address such as 127.0.0.1:7201");
  }
  port_ = server_.listen(host, static_cast<quint16>(url.port()));
  if (port_ == 0) {
    return MakeError(error_kind::kUnavailable,
                     "the agent cannot listen on " + address,
                     "choose an address of this machine and a free port");
  }
  return {};
}

QHttpServerResponse announce_api::HandleAnnounce(
    const QHttpServerRequest& request) {
  const QByteArray body = request.body();
  auto parsed = ParseAnnouncement(
      {body.constData(), static_cast<std::size_t>(body.size())});
  if (!parsed) {
    listener_.on_malformed(parsed.error());
    return ErrorResponse(parsed.error());
  }
  listener_.on_announce(std::move(*parsed));
  return QJsonObject{
      {QStringLiteral("ttl_ms"), static_cast<qint64>(ttl_.count())}};
}

QHttpServerResponse announce_api::HandleLeave() {
  return QJsonObject{
      {QStringLiteral("running"), static_cast<qint64>(listener_.on_leave(""))}};
}

}  // namespace jayrill
