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

// Callers choose these texts. Quoting keeps them on one line of the log, and
// long ones are cut.
std::string ForLog(std::string_view text) {
  constexpr std::size_t kMaxLoggedBytes = 128;
  return QuoteJson(text.substr(0, kMaxLoggedBytes));
}

}  // namespace

operator_api::operator_api(operator_api_dependencies dependencies)
    : dependencies_(std::move(dependencies)) {}

void operator_api::AddRoutes(http_server& server) {
  const auto add = [&](const char* path, QHttpServerRequest::Methods methods,
                       handler operation) {
    server.Route(path, methods,
                 [this, operation](const exchange_ptr& exchange) {
                   CheckSecretAndCall(exchange, operation);
                 });
  };
  add("/v1/config", method::Get, &operator_api::GetConfig);
  add("/v1/status", method::Get, &operator_api::GetStatus);
  add("/v1/audit", method::Get, &operator_api::GetAudit);
  add("/v1/profiles/<arg>", method::Put | method::Delete,
      &operator_api::ChangeConfig);
  add("/v1/services/<arg>", method::Put | method::Delete,
      &operator_api::ChangeConfig);
  add("/v1/teams/<arg>", method::Put | method::Delete,
      &operator_api::ChangeConfig);
  add("/v1/data-centres/<arg>", method::Put, &operator_api::ChangeConfig);
  add("/v1/data-centres/<arg>/out", method::Post, &operator_api::ChangeConfig);
  add("/v1/data-centres/<arg>/in", method::Post, &operator_api::ChangeConfig);
}

void operator_api::CheckSecretAndCall(const exchange_ptr& exchange,
                                      handler operation) {
  if (const auto allowed =
          CheckSecret(exchange->request(), dependencies_.secret);
      !allowed) {
    Refuse(exchange, allowed.error());
    return;
  }
  (this->*operation)(exchange);
}

void operator_api::ChangeConfig(const exchange_ptr& exchange) {
  const http_request& request = exchange->request();
  result<config_change> change = OperatorName(request).and_then(
      [&](std::string name) { return DecodeChange(request, std::move(name)); });
  if (!change) {
    Refuse(exchange, change.error());
    return;
  }
  const std::string item = ItemOf(*change);
  if (request.caller != caller_state::kConnected) {
    // It was held back on its way. Its operator does not wait any more and may
    // have made another change since, which this one would replace.
    Refuse(exchange, {error_kind::kDeadlineExceeded,
                      "the operator closed the connection before the change "
                      "to " +
                          ForLog(item) + " was read",
                      "look at the configuration and repeat the change"});
    return;
  }
  LOG(INFO) << "config: change requested item=" << ForLog(item)
            << " operator=" << change->operator_name
            << " reason=" << ForLog(change->reason);
  dependencies_.config.Submit(
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
  details.insert(u"current"_s,
                 ItemValue(*dependencies_.config.current(), item));
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
  dependencies_.metrics
      .Counter("jayrill_operator_refusals_total",
               "Refused requests of operators.",
               {{"kind", std::string(ToString(failure.kind))}})
      .Add();
  exchange->Reply(ErrorResponse(failure));
}

void operator_api::GetConfig(const exchange_ptr& exchange) {
  QJsonObject json = ParseObject(
      EncodeConfig(*dependencies_.config.current(), audit_trail::kOmitted));
  const auto since = dependencies_.unconfirmed_since();
  json.insert(u"unconfirmed_since_ms"_s,
              since ? QJsonValue(qint64{since->time_since_epoch().count()})
                    : QJsonValue());
  Reply(exchange, json);
}

void operator_api::GetAudit(const exchange_ptr& exchange) {
  dependencies_.config.ReadAudit(
      [this, exchange](const result<std::vector<audit_record>>& records) {
        // If the store cannot be read, the answer has only the newest records,
        // from this entry's copy of the configuration.
        QJsonObject json = ParseObject(EncodeAudit(
            records ? *records : dependencies_.config.current()->audit));
        json.insert(u"records"_s, json.take("audit"_L1));
        json.insert(u"complete"_s, records.has_value());
        Reply(exchange, json);
      });
}

void operator_api::GetStatus(const exchange_ptr& exchange) {
  dependencies_.status([exchange](const entry_status& status) {
    Reply(exchange, ToJson(status));
  });
}

}  // namespace jayrill
