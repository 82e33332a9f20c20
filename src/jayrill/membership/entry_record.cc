#include "jayrill/membership/entry_record.h"

#include <QJsonArray>

#include "jayrill/base/endpoint.h"
#include "jayrill/store/json_object.h"

namespace jayrill {

namespace {

/// \returns true when other processes can connect to \p address.
bool IsReachable(const std::string& address) {
  const std::optional<endpoint> parsed = ParseEndpoint(address);
  return parsed && parsed->port != 0 && !IsWildcard(*parsed);
}

}  // namespace

std::string EncodeEntryRecord(const entry_record& record) {
  QJsonArray silent;
  for (const std::string& agent : record.silent_agents) {
    silent.append(ToJsonText(agent));
  }
  QJsonObject demand;
  for (const auto& [team, tasks] : record.team_demand) {
    demand.insert(ToJsonText(team),
                  QJsonObject{{QStringLiteral("tasks"), qint64{tasks}}});
  }
  return ToText(
      {{QStringLiteral("id"), ToJsonText(record.id)},
       {QStringLiteral("process"), ToJsonHex(record.process.value)},
       {QStringLiteral("rpc_address"), ToJsonText(record.rpc_address)},
       {QStringLiteral("http_address"), ToJsonText(record.http_address)},
       {QStringLiteral("data_centre"), ToJsonText(record.data_centre)},
       {QStringLiteral("cpu_millis"), qint64{record.cpu_millis}},
       {QStringLiteral("revision"), static_cast<qint64>(record.revision.value)},
       {QStringLiteral("agents"), qint64{record.agents}},
       {QStringLiteral("agents_at_revision"),
        qint64{record.agents_at_revision}},
       {QStringLiteral("silent_agents"), silent},
       {QStringLiteral("team_demand"), demand}});
}

result<entry_record> DecodeEntryRecord(std::string_view text) {
  const json_object json = json_object::Parse(text);
  json.Require("id");
  json.Require("process");
  entry_record record{json.Text("id"),
                      incarnation{json.Hex("process")},
                      json.Text("rpc_address"),
                      json.Text("http_address"),
                      json.Text("data_centre"),
                      json.Number32("cpu_millis"),
                      config_revision{json.Number("revision")},
                      json.Number32("agents"),
                      json.Number32("agents_at_revision"),
                      json.Texts("silent_agents"),
                      {}};
  json.ForEach("team_demand",
               [&](const std::string& team, const json_object& demand) {
                 record.team_demand[team] = demand.Number32("tasks");
               });
  if (record.id.empty()) {
    json.Reject("id", "a name");
  }
  // Each entry sends the addresses of all entries to the agents, which connect
  // to them.
  if (!IsReachable(record.rpc_address)) {
    json.Reject("rpc_address", "the IP:port of an entry");
  }
  if (auto checked = json.Check("entry record"); !checked) {
    return tl::unexpected(checked.error());
  }
  return record;
}

result<entry_record> DecodeStoredEntryRecord(std::string_view key,
                                             std::string_view json) {
  result<entry_record> record = DecodeEntryRecord(json);
  if (record && key != kEntriesPrefix + record->id) {
    return MakeError(error_kind::kInvalidArgument,
                     "the record names another entry: " + record->id,
                     "delete the key");
  }
  return record;
}

}  // namespace jayrill
