#include "jayrill/store/internal/etcd_json.h"

#include <QByteArray>
#include <QJsonArray>
#include <utility>

namespace jayrill::store_internal {

namespace {

// Version 14 of the linter sees using-declarations of literals as unused.
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace Qt::StringLiterals;

}  // namespace

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
  // Read as signed, since the ids of leases are int64 in the protocol.
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
  return {{u"key"_s, ToBase64(key)}};
}

QJsonObject RangeOfPrefix(const std::string& prefix) {
  return {{u"key"_s, ToBase64(prefix)},
          {u"range_end"_s, ToBase64(RangeEnd(prefix))}};
}

QJsonObject SwapRequest(std::string_view key,
                        store_revision expected,
                        const std::optional<std::string>& value,
                        std::optional<lease_id> lease) {
  const QString name = ToBase64(key);
  QJsonObject change;
  if (value) {
    QJsonObject put{{u"key"_s, name}, {u"value"_s, ToBase64(*value)}};
    if (lease) {
      put.insert(u"lease"_s,
                 QString::number(static_cast<qint64>(lease->value)));
    }
    change.insert(u"request_put"_s, put);
  } else {
    change.insert(u"request_delete_range"_s, QJsonObject{{u"key"_s, name}});
  }
  const QJsonObject compare{
      {u"key"_s, name},
      {u"target"_s, u"MOD"_s},
      {u"result"_s, u"EQUAL"_s},
      {u"mod_revision"_s, QString::number(expected.value)}};
  return {{u"compare"_s, QJsonArray{compare}},
          {u"success"_s, QJsonArray{change}},
          {u"failure"_s,
           QJsonArray{QJsonObject{{u"request_range"_s, RangeOfKey(key)}}}}};
}

store_revision HeaderRevision(const QJsonObject& answer) {
  return store_revision{
      Number(answer.value(u"header"_s).toObject(), u"revision"_s)};
}

std::vector<store_entry> Entries(const QJsonObject& answer) {
  std::vector<store_entry> entries;
  for (const QJsonValue item : answer.value(u"kvs"_s).toArray()) {
    const QJsonObject kv = item.toObject();
    entries.push_back({Bytes(kv, u"key"_s), Bytes(kv, u"value"_s),
                       store_revision{Number(kv, u"mod_revision"_s)}});
  }
  return entries;
}

}  // namespace jayrill::store_internal
