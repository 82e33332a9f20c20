#include "jayrill/config/config_codec.h"

#include <QByteArray>
#include <QJsonArray>
#include <QtEndian>
#include <string>

#include "jayrill/config/internal/config_json.h"

namespace jayrill {

namespace {

// Version 14 of the linter sees using-declarations of literals as unused.
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace Qt::StringLiterals;

// Largest uncompressed size that the header of a packed configuration may
// state. The store holds values up to 1 MB, so a size above this is malformed
// input.
constexpr quint32 kMaxUnpackedBytes = 4U << 20U;

template <typename Item>
QJsonObject EncodeItem(const Item& item) {
  return config::internal::ToJson(item);
}

// Adapters make a profile for each of thousands of routes. Without the parts
// that bound nothing it is quicker to write and to read.
QJsonObject EncodeItem(const profile& item) {
  return config::internal::ToShortJson(item);
}

template <typename Map>
QJsonObject EncodeItems(const Map& items) {
  QJsonObject json;
  for (const auto& [name, item] : items) {
    QJsonObject value = EncodeItem(item);
    value.insert(u"changed"_s, static_cast<qint64>(item.changed.value));
    json.insert(ToJsonText(name), value);
  }
  return json;
}

QJsonArray EncodeRecords(const std::vector<audit_record>& records) {
  QJsonArray json;
  for (const audit_record& record : records) {
    json.append(config::internal::ToJson(record));
  }
  return json;
}

void ReadRecords(const json_object& json, std::vector<audit_record>& records) {
  json.ForEachItem("audit", [&](const json_object& item) {
    records.push_back(config::internal::ReadAuditRecord(item));
  });
}

void ReadItems(const json_object& json, cluster_config& config) {
  json.ForEach("profiles", [&](const std::string& name, const json_object& v) {
    config.profiles[name] = config::internal::ReadProfile(v);
  });
  json.ForEach("services", [&](const std::string& name, const json_object& v) {
    config.services[name] = {v.Text("profile"),
                             config_revision{v.Number("changed")}};
  });
  json.ForEach("routes", [&](const std::string& name, const json_object& v) {
    config.routes[name] = {v.Text("host"), v.Text("path_prefix"),
                           v.Text("service"), v.Text("profile"),
                           config_revision{v.Number("changed")}};
  });
  json.ForEach("teams", [&](const std::string& name, const json_object& v) {
    config.teams[name] = {v.Number32("max_running"),
                          config_revision{v.Number("changed")}};
  });
  json.ForEach("data_centres",
               [&](const std::string& name, const json_object& v) {
                 // An absent field would read as in service.
                 v.Require("out");
                 config.data_centres[name] = {
                     v.Flag("out"), config_revision{v.Number("changed")}};
               });
}

}  // namespace

std::string EncodeConfig(const cluster_config& config, audit_trail audit) {
  QJsonObject json{
      {u"revision"_s, static_cast<qint64>(config.revision.value)},
      {u"profiles"_s, EncodeItems(config.profiles)},
      {u"services"_s, EncodeItems(config.services)},
      {u"routes"_s, EncodeItems(config.routes)},
      {u"teams"_s, EncodeItems(config.teams)},
      {u"data_centres"_s, EncodeItems(config.data_centres)},
  };
  if (audit == audit_trail::kIncluded) {
    json.insert(u"audit"_s, EncodeRecords(config.audit));
  }
  return ToText(json);
}

result<cluster_config> DecodeConfig(std::string_view text) {
  const json_object json = json_object::Parse(text);
  cluster_config config;
  json.Require("revision");
  config.revision.value = json.Number("revision");
  ReadItems(json, config);
  ReadRecords(json, config.audit);
  if (auto checked = json.Check("configuration"); !checked) {
    return tl::unexpected(checked.error());
  }
  return config;
}

std::string PackConfig(const cluster_config& config) {
  const std::string json = EncodeConfig(config, audit_trail::kOmitted);
  return qCompress(QByteArray::fromStdString(json)).toStdString();
}

result<cluster_config> UnpackConfig(std::string_view packed) {
  // qCompress puts the uncompressed size in front, as a big-endian number.
  const auto* const bytes = reinterpret_cast<const uchar*>(packed.data());
  const bool is_plausible = packed.size() > sizeof(quint32) &&
                            qFromBigEndian<quint32>(bytes) <= kMaxUnpackedBytes;
  const QByteArray json =
      is_plausible ? qUncompress(bytes, static_cast<qsizetype>(packed.size()))
                   : QByteArray();
  if (json.isEmpty()) {
    return MakeError(error_kind::kInvalidArgument,
                     "the packed configuration cannot be read",
                     "update the older of the entry and the agent");
  }
  return DecodeConfig(
      {json.constData(), static_cast<std::size_t>(json.size())});
}

std::string EncodeAudit(const std::vector<audit_record>& records) {
  return ToText({{u"audit"_s, EncodeRecords(records)}});
}

result<std::vector<audit_record>> DecodeAudit(std::string_view text) {
  const json_object json = json_object::Parse(text);
  std::vector<audit_record> records;
  ReadRecords(json, records);
  if (auto checked = json.Check("audit trail"); !checked) {
    return tl::unexpected(checked.error());
  }
  return records;
}

result<profile> DecodeProfile(std::string_view text) {
  const json_object json = json_object::Parse(text);
  profile value = config::internal::ReadProfile(json);
  if (auto checked = json.Check("profile"); !checked) {
    return tl::unexpected(checked.error());
  }
  return value;
}

}  // namespace jayrill
