#include "jayrill/store/json_object.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QString>
#include <cmath>
#include <utility>

#include "jayrill/base/utf8_text.h"

namespace jayrill {

namespace {

// 2^53: JSON numbers are doubles, which hold whole numbers exactly up to this.
constexpr double kMaxExactInteger = 9007199254740992.0;

}  // namespace

json_object::json_object(QJsonObject object,
                         std::string path,
                         first_error failure)
    : object_(std::move(object)),
      path_(std::move(path)),
      failure_(std::move(failure)) {}

json_object json_object::Parse(std::string_view json) {
  auto failure = std::make_shared<std::string>();
  QJsonParseError parsed;
  const QJsonDocument document = ParseJson(
      QByteArray(json.data(), static_cast<qsizetype>(json.size())), &parsed);
  if (parsed.error != QJsonParseError::NoError) {
    *failure = "malformed JSON at byte " + std::to_string(parsed.offset);
  } else if (!document.isObject()) {
    *failure = "the JSON is not an object";
  }
  return {document.object(), std::string(), std::move(failure)};
}

QJsonValue json_object::Value(std::string_view name) const {
  return object_.value(ToQString(name));
}

bool json_object::Has(std::string_view name) const {
  return object_.contains(ToQString(name));
}

std::string json_object::Text(std::string_view name) const {
  const QJsonValue value = Value(name);
  if (!value.isUndefined() && !value.isString()) {
    Reject(name, "a string");
  }
  return value.toString().toStdString();
}

std::vector<std::string> json_object::Texts(std::string_view name) const {
  std::vector<std::string> texts;
  const QJsonValue value = Value(name);
  if (!value.isUndefined() && !value.isArray()) {
    Reject(name, "an array of strings");
  }
  for (const QJsonValue item : value.toArray()) {
    if (!item.isString()) {
      Reject(name, "an array of strings");
    }
    texts.push_back(item.toString().toStdString());
  }
  return texts;
}

bool json_object::Flag(std::string_view name) const {
  const QJsonValue value = Value(name);
  if (!value.isUndefined() && !value.isBool()) {
    Reject(name, "true or false");
  }
  return value.toBool();
}

std::uint64_t json_object::Number(std::string_view name,
                                  std::uint64_t limit) const {
  const QJsonValue value = Value(name);
  if (value.isUndefined()) {
    return 0;
  }
  const double number = value.toDouble(-1);
  const bool whole =
      number >= 0 && number <= kMaxExactInteger && std::floor(number) == number;
  if (!whole || static_cast<std::uint64_t>(number) > limit) {
    Reject(name, "a whole number from 0 to " + std::to_string(limit));
    return 0;
  }
  return static_cast<std::uint64_t>(number);
}

std::uint32_t json_object::Number32(std::string_view name) const {
  return static_cast<std::uint32_t>(
      Number(name, std::numeric_limits<std::uint32_t>::max()));
}

std::uint64_t json_object::Hex(std::string_view name) const {
  const std::string text = Text(name);
  if (text.empty()) {
    return 0;
  }
  bool valid = false;
  const std::uint64_t value =
      QString::fromStdString(text).toULongLong(&valid, 16);
  if (!valid) {
    Reject(name, "a hexadecimal number");
  }
  return value;
}

json_object json_object::Child(std::string_view name) const {
  const QJsonValue value = Value(name);
  if (!value.isUndefined() && !value.isObject()) {
    Reject(name, "an object");
  }
  return {value.toObject(), path_ + std::string(name) + ".", failure_};
}

void json_object::ForEach(
    std::string_view name,
    const std::function<void(const std::string&, const json_object&)>& function)
    const {
  const json_object members = Child(name);
  for (const QString& key : members.object_.keys()) {
    const std::string member = key.toStdString();
    function(member, members.Child(member));
  }
}

void json_object::ForEachItem(
    std::string_view name,
    const std::function<void(const json_object&)>& function) const {
  const QJsonValue value = Value(name);
  if (!value.isUndefined() && !value.isArray()) {
    Reject(name, "an array of objects");
  }
  for (const QJsonValue item : value.toArray()) {
    if (!item.isObject()) {
      Reject(name, "an array of objects");
    }
    function({item.toObject(), path_ + std::string(name) + "[].", failure_});
  }
}

void json_object::Reject(std::string_view name,
                         std::string_view expected) const {
  if (failure_->empty()) {
    *failure_ = "field " + path_ + std::string(name) + " is not " +
                std::string(expected);
  }
}

void json_object::Require(std::string_view name) const {
  if (!Has(name)) {
    Reject(name, "present");
  }
}

result<void> json_object::Check(std::string_view what) const {
  if (failure_->empty()) {
    return {};
  }
  return MakeError(error_kind::kInvalidArgument,
                   std::string(what) + ": " + *failure_,
                   "correct the JSON of the " + std::string(what));
}

std::string ToText(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

QString ToJsonText(std::string_view text) {
  return ToQString(text);
}

QString ToJsonHex(std::uint64_t value) {
  return QString::number(value, 16).rightJustified(16, QLatin1Char('0'));
}

}  // namespace jayrill
