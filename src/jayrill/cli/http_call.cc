#include "jayrill/cli/http_call.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <memory>
#include <utility>

#include "jayrill/base/upload_device.h"

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

/// Sends a request of which the body, unless it is empty, is sent once.
std::unique_ptr<QNetworkReply> SendOnce(QNetworkAccessManager& network,
                                        QNetworkRequest request,
                                        const QByteArray& method,
                                        upload_device& body) {
  if (body.size() == 0) {
    return std::unique_ptr<QNetworkReply>(
        network.sendCustomRequest(request, method));
  }
  request.setHeader(QNetworkRequest::ContentLengthHeader, body.size());
  return std::unique_ptr<QNetworkReply>(
      network.sendCustomRequest(request, method, &body));
}

}  // namespace

QJsonObject http_answer::Json() const {
  return QJsonDocument::fromJson(body).object();
}

result<http_answer> Send(const std::string& address, const http_call& call) {
  QNetworkAccessManager network;
  network.setProxy(QNetworkProxy::NoProxy);
  upload_device body(call.body);
  const std::unique_ptr<QNetworkReply> reply =
      SendOnce(network, MakeRequest(address, call), call.method, body);
  QEventLoop loop;
  QObject::connect(reply.get(), &QNetworkReply::finished, &loop,
                   &QEventLoop::quit);
  if (!reply->isFinished()) {
    loop.exec();
  }
  const QVariant status =
      reply->attribute(QNetworkRequest::HttpStatusCodeAttribute);
  const QNetworkReply::NetworkError failure = reply->error();
  if (failure == QNetworkReply::ConnectionRefusedError && !body.was_read()) {
    return MakeError(
        error_kind::kUnavailable, "no entry listens on " + address,
        "check the address in --entry and that the entry is running");
  }
  if (!status.isValid() || failure == QNetworkReply::RemoteHostClosedError ||
      failure == QNetworkReply::OperationCanceledError ||
      failure == QNetworkReply::ConnectionRefusedError) {
    return MakeError(error_kind::kUnknownOutcome,
                     "no complete answer from " + address + ": " +
                         reply->errorString().toStdString(),
                     "the request may have taken effect; check this before "
                     "you repeat it");
  }
  return http_answer{status.toInt(), reply->readAll()};
}

}  // namespace jayrill
