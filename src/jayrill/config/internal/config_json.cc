#include "jayrill/config/internal/config_json.h"

#include <QJsonArray>
#include <string>

namespace jayrill::config::internal {

namespace {

qint64 ToNumber(std::uint64_t value) {
  return static_cast<qint64>(value);
}

}  // namespace

QJsonObject ToJson(const profile& value) {
  QJsonArray data_centres;
  for (const std::string& name : value.placement.data_centres) {
    data_centres.append(ToJsonText(name));
  }
  return {
      {QStringLiteral("urgency"), ToNumber(value.urgency)},
      {QStringLiteral("limits"),
       QJsonObject{
           {QStringLiteral("max_tasks"), ToNumber(value.limits.max_tasks)},
           {QStringLiteral("max_running"), ToNumber(value.limits.max_running)},
           {QStringLiteral("max_deadline_ms"),
            qint64{value.limits.max_deadline.count()}}}},
      {QStringLiteral("placement"),
       QJsonObject{
           {QStringLiteral("data_centres"), data_centres},
           {QStringLiteral("min_cores"), ToNumber(value.placement.min_cores)},
           {QStringLiteral("min_memory_mb"),
            ToNumber(value.placement.min_memory_mb)},
           {QStringLiteral("min_accelerators"),
            ToNumber(value.placement.min_accelerators)}}},
  };
}

QJsonObject ToJson(const service_binding& value) {
  return {{QStringLiteral("profile"), ToJsonText(value.profile)}};
}

QJsonObject ToJson(const team_quota& value) {
  return {{QStringLiteral("max_running"), ToNumber(value.max_running)}};
}

QJsonObject ToJson(const data_centre_state& value) {
  return {{QStringLiteral("out"), value.out}};
}

QJsonObject ToJson(const audit_record& value) {
  return {
      {QStringLiteral("revision"), ToNumber(value.revision.value)},
      {QStringLiteral("when_ms"),
       qint64{value.when.time_since_epoch().count()}},
      {QStringLiteral("operator"), ToJsonText(value.operator_name)},
      {QStringLiteral("reason"), ToJsonText(value.reason)},
      {QStringLiteral("item"), ToJsonText(value.item)},
      {QStringLiteral("before"), ToJsonText(value.before)},
      {QStringLiteral("after"), ToJsonText(value.after)},
      {QStringLiteral("token"), ToJsonHex(value.token)},
  };
}

profile ReadProfile(const json_object& json) {
  profile value;
  if (json.Has("urgency")) {
    value.urgency = json.Number32("urgency");
  }
  const json_object limits = json.Child("limits");
  value.limits.max_tasks = limits.Number32("max_tasks");
  value.limits.max_running = limits.Number32("max_running");
  value.limits.max_deadline =
      std::chrono::milliseconds(limits.Number("max_deadline_ms"));
  const json_object placement = json.Child("placement");
  for (std::string& name : placement.Texts("data_centres")) {
    value.placement.data_centres.insert(std::move(name));
  }
  value.placement.min_cores = placement.Number32("min_cores");
  value.placement.min_memory_mb = placement.Number32("min_memory_mb");
  value.placement.min_accelerators = placement.Number32("min_accelerators");
  value.changed.value = json.Number("changed");
  return value;
}

audit_record ReadAuditRecord(const json_object& json) {
  json.Require("revision");
  return {config_revision{json.Number("revision")},
          wall_time(std::chrono::milliseconds(json.Number("when_ms"))),
          json.Text("operator"),
          json.Text("reason"),
          json.Text("item"),
          json.Text("before"),
          json.Text("after"),
          json.Hex("token")};
}

}  // namespace jayrill::config::internal
