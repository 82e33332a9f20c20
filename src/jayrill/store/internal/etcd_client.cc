#include "jayrill/store/internal/etcd_client.h"

#include <QJsonDocument>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <cassert>
#include <memory>
#include <utility>

namespace jayrill::store_internal {

namespace {

// Version 14 of the linter sees using-declarations of literals as unused.
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace Qt::StringLiterals;

// What is known about the sending of one request.
struct send_state {
  int times_sent = 0;
  bool timed_out = false;
};

// gRPC status codes, which the store puts into its JSON errors.
constexpr int kGrpcInvalidArgument = 3;
constexpr int kGrpcNotFound = 5;

error Failure(error_kind kind, std::string message) {
  return {kind, "store: " + std::move(message),
          kind == error_kind::kUnknownOutcome
              ? "read the key back before the call is repeated"
              : "check that the store is up and its address is right"};
}

// Converts an answer with an HTTP error status.
error StatusFailure(const QJsonObject& json, int status, call_kind kind) {
  const int code = json.value(u"code"_s).toInt();
  std::string message = "status " + std::to_string(status) + " " +
                        json.value(u"error"_s).toString().toStdString();
  if (code == kGrpcNotFound) {
    return Failure(error_kind::kNotFound, std::move(message));
  }
  if (code == kGrpcInvalidArgument) {
    return Failure(error_kind::kInvalidArgument, std::move(message));
  }
  if (status == 401 || status == 403) {
    return Failure(error_kind::kUnauthorized, std::move(message));
  }
  // The write may have had an effect: a proposal that timed out, for example,
  // may still be committed.
  return Failure(kind == call_kind::kRead ? error_kind::kUnavailable
                                          : error_kind::kUnknownOutcome,
                 std::move(message));
}

error NetworkFailure(const QNetworkReply& reply,
                     const send_state& sending,
                     call_kind kind) {
  // Only a connection that was never made proves that nothing was sent. Qt may
  // send a request on a persistent connection, resend it and then find the
  // connection refused, so times_sent must be 0. A timeout proves nothing,
  // because the request may be sent at the same moment.
  const bool refused =
      sending.times_sent == 0 && !sending.timed_out &&
      (reply.error() == QNetworkReply::ConnectionRefusedError ||
       reply.error() == QNetworkReply::HostNotFoundError);
  const bool no_effect = kind == call_kind::kRead || refused;
  return Failure(
      no_effect ? error_kind::kUnavailable : error_kind::kUnknownOutcome,
      sending.timed_out ? std::string("no answer in time")
                        : reply.errorString().toStdString());
}

result<etcd_answer> Evaluate(QNetworkReply& reply,
                             const send_state& sending,
                             call_kind kind) {
  const int status =
      reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  const QByteArray body = reply.isOpen() ? reply.readAll() : QByteArray();
  const QJsonDocument document = QJsonDocument::fromJson(body);
  if (status >= 400) {
    return tl::unexpected(StatusFailure(document.object(), status, kind));
  }
  if (reply.error() != QNetworkReply::NoError) {
    return tl::unexpected(NetworkFailure(reply, sending, kind));
  }
  if (!document.isObject()) {
    return tl::unexpected(Failure(kind == call_kind::kRead
                                      ? error_kind::kUnavailable
                                      : error_kind::kUnknownOutcome,
                                  "the answer is not JSON"));
  }
  return etcd_answer{document.object(), sending.times_sent};
}

bool MayTryNext(const result<etcd_answer>& answer) {
  return !answer && answer.error().kind == error_kind::kUnavailable;
}

}  // namespace

etcd_client::etcd_client(const std::vector<std::string>& endpoints,
                         std::chrono::milliseconds timeout)
    : timeout_(timeout) {
  assert(!endpoints.empty() && "the store needs at least one endpoint");
  for (const std::string& endpoint : endpoints) {
    endpoints_.push_back(u"http://"_s + QString::fromStdString(endpoint));
  }
  calls_.setProxy(QNetworkProxy::NoProxy);
  streams_.setProxy(QNetworkProxy::NoProxy);
}

QNetworkRequest etcd_client::Request(const QString& path) const {
  QNetworkRequest request(QUrl(endpoints_[current_endpoint_] + path));
  request.setHeader(QNetworkRequest::ContentTypeHeader, u"application/json"_s);
  return request;
}

void etcd_client::Post(const QString& path,
                       const QJsonObject& body,
                       call_kind kind,
                       const done_function& done) {
  Try(path, body, kind, endpoints_.size(), done);
}

void etcd_client::Try(const QString& path,
                      const QJsonObject& body,
                      call_kind kind,
                      std::size_t tries_left,
                      const done_function& done) {
  QNetworkReply* const reply = calls_.post(
      Request(path), QJsonDocument(body).toJson(QJsonDocument::Compact));
  auto sending = std::make_shared<send_state>();
  QObject::connect(reply, &QNetworkReply::requestSent, reply,
                   [sending] { ++sending->times_sent; });
  QTimer::singleShot(timeout_, reply, [reply, sending] {
    if (reply->isRunning()) {
      sending->timed_out = true;
      reply->abort();
    }
  });
  QObject::connect(
      reply, &QNetworkReply::finished, reply,
      [this, reply, sending, path, body, kind, tries_left, done] {
        reply->deleteLater();
        result<etcd_answer> answer = Evaluate(*reply, *sending, kind);
        if (!answer && answer.error().kind != error_kind::kNotFound) {
          UseNextEndpoint();
        }
        if (MayTryNext(answer) && tries_left > 1) {
          Try(path, body, kind, tries_left - 1, done);
        } else {
          done(std::move(answer));
        }
      });
}

QNetworkReply* etcd_client::OpenStream(const QString& path,
                                       const QJsonObject& body) {
  return streams_.post(Request(path),
                       QJsonDocument(body).toJson(QJsonDocument::Compact));
}

}  // namespace jayrill::store_internal
