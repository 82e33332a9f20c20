#include "jayrill/entry/operator_api.h"

#include <glog/logging.h>

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <utility>

#include "jayrill/config/config_codec.h"
#include "jayrill/entry/operator_auth.h"
#include "jayrill/entry/operator_change.h"
#include "jayrill/job/job_codec.h"
#include "jayrill/store/json_object.h"

namespace jayrill {
namespace {

// Version 14 of the linter sees using-declarations of literals as unused.
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace Qt::StringLiterals;
using method = QHttpServerRequest::Method;

QJsonObject ParseObject(const std::string& json) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(json)).object();
}

void Reply(const exchange_ptr& exchange, const QJsonObject& object) {
  exchange->Reply({200, ToText(object)});
}

// Callers choose these texts; quoting keeps them on one line of the log.
std::string ForLog(std::string_view text) {
  constexpr std::size_t kMaxLogged = 128;
  return QuoteJson(text.substr(0, kMaxLogged));
}

}  // namespace

operator_api::operator_api(operator_api_parts parts)
    : parts_(std::move(parts)) {}

void operator_api::AddRoutes(http_server& server) {
  const auto add = [&](const char* path, QHttpServerRequest::Methods methods,
                       handler handle) {
    server.Route(path, methods, [this, handle](const exchange_ptr& exchange) {
      Handle(exchange, handle);
    });
  };
  add("/v1/config", method::Get, &operator_api::Config);
  add("/v1/status", method::Get, &operator_api::Status);
  add("/v1/audit", method::Get, &operator_api::Audit);
  add("/v1/profiles/<arg>", method::Put | method::Delete,
      &operator_api::Change);
  add("/v1/services/<arg>", method::Put | method::Delete,
      &operator_api::Change);
  add("/v1/teams/<arg>", method::Put | method::Delete, &operator_api::Change);
  add("/v1/data-centres/<arg>", method::Put, &operator_api::Change);
  add("/v1/data-centres/<arg>/out", method::Post, &operator_api::Change);
  add("/v1/data-centres/<arg>/in", method::Post, &operator_api::Change);
}

void operator_api::Handle(const exchange_ptr& exchange, handler handle) {
  if (const auto allowed = CheckSecret(exchange->request(), parts_.secret);
      !allowed) {
    Refuse(exchange, allowed.error());
    return;
  }
  (this->*handle)(exchange);
}

void operator_api::Change(const exchange_ptr& exchange) {
  const http_request& request = exchange->request();
  result<config_change> change = OperatorOf(request).and_then(
      [&](std::string name) { return DecodeChange(request, std::move(name)); });
  if (!change) {
    Refuse(exchange, change.error());
    return;
  }
  const std::string item = ItemOf(*change);
  LOG(INFO) << "config: change requested item=" << ForLog(item)
            << " operator=" << change->operator_name
            << " reason=" << ForLog(change->reason);
  parts_.config.Submit(
      std::move(*change),
      [this, exchange, item](const result<config_revision>& accepted) {
        if (accepted) {
          Reply(exchange,
                {{u"item"_s, ToJsonText(item)},
                 {u"revision"_s, static_cast<qint64>(accepted->value)}});
        } else if (accepted.error().kind == error_kind::kConflict) {
          ReplyConflict(exchange, item, accepted.error());
        } else {
          Refuse(exchange, accepted.error());
        }
      });
}

void operator_api::ReplyConflict(const exchange_ptr& exchange,
                                 const std::string& item,
                                 const error& failure) {
  LOG(WARNING) << "config: change refused item=" << ForLog(item) << ": "
               << ToString(failure);
  http_response response = ErrorResponse(failure);
  QJsonObject body = ParseObject(response.body);
  QJsonObject details = body.value("error"_L1).toObject();
  details.insert(u"current"_s, ItemValue(*parts_.config.current(), item));
  details.insert(u"requested"_s, RequestedValue(exchange->request()));
  body.insert(u"error"_s, details);
  response.body = ToText(body);
  exchange->Reply(response);
}

void operator_api::Refuse(const exchange_ptr& exchange, const error& failure) {
  const http_request& request = exchange->request();
  LOG(WARNING) << "http: operator request refused method=" << request.method
               << " path=" << ForLog(request.path)
               << " operator=" << ForLog(request.Header("jayrill-operator"))
               << ": " << ToString(failure);
  parts_.metrics
      .Counter("jayrill_operator_refusals_total",
               "Refused requests of operators.",
               {{"kind", std::string(ToString(failure.kind))}})
      .Add();
  exchange->Reply(ErrorResponse(failure));
}

void operator_api::Config(const exchange_ptr& exchange) {
  QJsonObject json = ParseObject(
      EncodeConfig(*parts_.config.current(), audit_trail::kOmitted));
  const auto since = parts_.unconfirmed_since();
  json.insert(u"unconfirmed_since_ms"_s,
              since ? QJsonValue(qint64{since->time_since_epoch().count()})
                    : QJsonValue());
  Reply(exchange, json);
}

void operator_api::Audit(const exchange_ptr& exchange) {
  parts_.config.ReadAudit(
      [this, exchange](const result<std::vector<audit_record>>& records) {
        // Without the store, the newest records of this entry's copy remain.
        QJsonObject json = ParseObject(
            EncodeAudit(records ? *records : parts_.config.current()->audit));
        json.insert(u"records"_s, json.take("audit"_L1));
        json.insert(u"complete"_s, records.has_value());
        Reply(exchange, json);
      });
}

void operator_api::Status(const exchange_ptr& exchange) {
  parts_.status([exchange](const entry_status& status) {
    Reply(exchange, ToJson(status));
  });
}

}  // namespace jayrill
