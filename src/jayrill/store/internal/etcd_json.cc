#include "jayrill/store/internal/etcd_json.h"

#include <QByteArray>
#include <QJsonArray>
#include <utility>

namespace jayrill::store_internal {

QString ToBase64(std::string_view bytes) {
  return QString::fromLatin1(
      QByteArray::fromRawData(bytes.data(),
                              static_cast<qsizetype>(bytes.size()))
          .toBase64());
}

std::string Bytes(const QJsonObject& json, const QString& name) {
  return QByteArray::fromBase64(json.value(name).toString().toLatin1())
      .toStdString();
}

std::uint64_t Number(const QJsonObject& json, const QString& name) {
  const QJsonValue value = json.value(name);
  // Leases are signed in the protocol.
  return static_cast<std::uint64_t>(
      value.isString() ? value.toString().toLongLong() : value.toInteger());
}

std::string RangeEnd(std::string prefix) {
  while (!prefix.empty()) {
    const auto last = static_cast<unsigned char>(prefix.back());
    if (last != 0xff) {
      prefix.back() = static_cast<char>(last + 1);
      return prefix;
    }
    prefix.pop_back();
  }
  return std::string(1, '\0');
}

QJsonObject RangeOfKey(std::string_view key) {
  return {{QStringLiteral("key"), ToBase64(key)}};
}

QJsonObject RangeOfPrefix(const std::string& prefix) {
  return {{QStringLiteral("key"), ToBase64(prefix)},
          {QStringLiteral("range_end"), ToBase64(RangeEnd(prefix))}};
}

QJsonObject SwapRequest(std::string_view key,
                        store_revision expected,
                        const std::optional<std::string>& value,
                        std::optional<lease_id> lease) {
  const QString name = ToBase64(key);
  QJsonObject change;
  if (value) {
    QJsonObject put{{QStringLiteral("key"), name},
                    {QStringLiteral("value"), ToBase64(*value)}};
    if (lease) {
      put.insert(QStringLiteral("lease"),
                 QString::number(static_cast<qint64>(lease->value)));
    }
    change.insert(QStringLiteral("request_put"), put);
  } else {
    change.insert(QStringLiteral("request_delete_range"),
                  QJsonObject{{QStringLiteral("key"), name}});
  }
  const QJsonObject compare{
      {QStringLiteral("key"), name},
      {QStringLiteral("target"), QStringLiteral("MOD")},
      {QStringLiteral("result"), QStringLiteral("EQUAL")},
      {QStringLiteral("mod_revision"), QString::number(expected.value)}};
  return {{QStringLiteral("compare"), QJsonArray{compare}},
          {QStringLiteral("success"), QJsonArray{change}},
          {QStringLiteral("failure"),
           QJsonArray{QJsonObject{
               {QStringLiteral("request_range"), RangeOfKey(key)}}}}};
}

store_revision HeaderRevision(const QJsonObject& answer) {
  return store_revision{
      Number(answer.value(QStringLiteral("header")).toObject(),
             QStringLiteral("revision"))};
}

std::vector<store_entry> Entries(const QJsonObject& answer) {
  std::vector<store_entry> entries;
  for (const QJsonValue item : answer.value(QStringLiteral("kvs")).toArray()) {
    const QJsonObject kv = item.toObject();
    entries.push_back(
        {Bytes(kv, QStringLiteral("key")), Bytes(kv, QStringLiteral("value")),
         store_revision{Number(kv, QStringLiteral("mod_revision"))}});
  }
  return entries;
}

}  // namespace jayrill::store_internal
