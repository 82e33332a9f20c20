#include "jayrill/cli/operator_client.h"

#include <QJsonDocument>
#include <utility>

namespace jayrill {
namespace {

constexpr int kFirstFailureStatus = 300;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

error_kind KindOf(int status) {
  switch (status) {
    case kUnauthorized:
      return error_kind::kUnauthorized;
    case kNotFound:
      return error_kind::kNotFound;
    case kConflict:
      return error_kind::kConflict;
    default:
      return error_kind::kUnavailable;
  }
}

/// \returns \p value as text: a string without quotes, an object as compact
/// JSON.
QString FormatValue(const QJsonValue& value) {
  if (value.isString()) {
    return value.toString();
  }
  if (value.isObject()) {
    return QString::fromUtf8(
        QJsonDocument(value.toObject()).toJson(QJsonDocument::Compact));
  }
  return value.toVariant().toString();
}

}  // namespace

error ReadError(int status, const QJsonObject& answer) {
  QJsonObject fields = answer.value(QLatin1String("error")).toObject();
  error failure;
  failure.kind = KindOf(status);
  failure.message =
      fields.take(QLatin1String("message")).toString().toStdString();
  failure.remedy =
      fields.take(QLatin1String("remedy")).toString().toStdString();
  if (failure.message.empty()) {
    failure.message =
        "the entry answered with status " + std::to_string(status);
  }
  // The remaining fields are appended for the operator. For a conflict they are
  // the value of the rejected change and the current value.
  fields.remove(QStringLiteral("kind"));
  fields.remove(QStringLiteral("code"));
  fields.remove(QStringLiteral("effect"));
  for (auto field = fields.begin(); field != fields.end(); ++field) {
    failure.message += "\n  " + (field.key() + QStringLiteral(": ") +
                                 FormatValue(field.value()))
                                    .toStdString();
  }
  return failure;
}

operator_client::operator_client(operator_options options)
    : options_(std::move(options)) {}

result<QJsonObject> operator_client::Get(const std::string& path) const {
  http_call call;
  call.path = path;
  return Call(std::move(call));
}

result<std::int64_t> operator_client::CurrentRevision() const {
  const result<QJsonObject> config = Get("/v1/config");
  if (!config) {
    return tl::unexpected(config.error());
  }
  return config->value(QLatin1String("revision")).toInteger();
}

result<std::int64_t> operator_client::Change(
    const QByteArray& method,
    const std::string& path,
    QJsonObject body,
    const std::string& reason,
    std::optional<std::int64_t> base_revision) const {
  if (!base_revision) {
    result<std::int64_t> current = CurrentRevision();
    if (!current) {
      return current;
    }
    base_revision = *current;
  }
  body.insert(QStringLiteral("reason"), QString::fromStdString(reason));
  body.insert(QStringLiteral("base_revision"),
              static_cast<qint64>(*base_revision));
  http_call call;
  call.method = method;
  call.path = path;
  call.body = QJsonDocument(body).toJson(QJsonDocument::Compact);
  const result<QJsonObject> answer = Call(std::move(call));
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  return answer->value(QLatin1String("revision")).toInteger();
}

result<QJsonObject> operator_client::Call(http_call call) const {
  call.timeout = options_.timeout;
  call.headers["Authorization"] =
      "Bearer " + QByteArray::fromStdString(options_.secret);
  call.headers["Jayrill-Operator"] = QByteArray::fromStdString(options_.name);
  result<http_answer> answer =
      MakeError(error_kind::kUnavailable, "no entry address was given",
                "give --entry=IP:port");
  for (const std::string& entry : options_.entries) {
    answer = Send(entry, call);
    // Try the next entry only after a refused connection: after any other
    // failure the request may have taken effect.
    if (answer || answer.error().kind != error_kind::kUnavailable) {
      break;
    }
  }
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  const QJsonObject json = answer->Json();
  if (answer->status >= kFirstFailureStatus) {
    return tl::unexpected(ReadError(answer->status, json));
  }
  return json;
}

}  // namespace jayrill
