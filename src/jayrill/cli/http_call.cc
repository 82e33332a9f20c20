#include "jayrill/cli/http_call.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <memory>

namespace jayrill {
namespace {

QNetworkRequest MakeRequest(const std::string& address, const http_call& call) {
  QNetworkRequest request(
      QUrl(QString::fromStdString("http://" + address + call.path)));
  request.setTransferTimeout(static_cast<int>(call.timeout.count()));
  if (!call.body.isEmpty()) {
    request.setHeader(QNetworkRequest::ContentTypeHeader,
                      QStringLiteral("application/json"));
  }
  for (const auto& [name, value] : call.headers) {
    request.setRawHeader(name, value);
  }
  return request;
}

}  // namespace

QJsonObject http_answer::Json() const {
  return QJsonDocument::fromJson(body).object();
}

result<http_answer> Send(const std::string& address, const http_call& call) {
  QNetworkAccessManager network;
  network.setProxy(QNetworkProxy::NoProxy);
  const std::unique_ptr<QNetworkReply> reply(network.sendCustomRequest(
      MakeRequest(address, call), call.method, call.body));
  QEventLoop loop;
  QObject::connect(reply.get(), &QNetworkReply::finished, &loop,
                   &QEventLoop::quit);
  if (!reply->isFinished()) {
    loop.exec();
  }
  const QVariant status =
      reply->attribute(QNetworkRequest::HttpStatusCodeAttribute);
  const QNetworkReply::NetworkError failure = reply->error();
  if (failure == QNetworkReply::ConnectionRefusedError) {
    return MakeError(
        error_kind::kUnavailable, "no entry listens on " + address,
        "check the address in --entry and that the entry is running");
  }
  if (!status.isValid() || failure == QNetworkReply::RemoteHostClosedError ||
      failure == QNetworkReply::OperationCanceledError) {
    return MakeError(error_kind::kUnknownOutcome,
                     "no complete answer from " + address + ": " +
                         reply->errorString().toStdString(),
                     "the request may have taken effect; check this before "
                     "you repeat it");
  }
  return http_answer{status.toInt(), reply->readAll()};
}

}  // namespace jayrill
