#include "jayrill/config/internal/config_json.h"

#include <QJsonArray>
#include <cmath>
#include <string>

namespace jayrill::config::internal {

namespace {

// Version 14 of the linter sees using-declarations of literals as unused.
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace Qt::StringLiterals;

constexpr double kPermille = 1000;

qint64 ToNumber(std::uint64_t value) {
  return static_cast<qint64>(value);
}

/// \returns the fields of \p value outside its limits and its placement.
QJsonObject RulesToJson(const profile& value) {
  return {
      {u"urgency"_s, ToNumber(value.urgency)},
      {u"attempts"_s, ToNumber(value.attempts)},
      // In thousandths, since json_object reads whole numbers only.
      {u"slack_factor_permille"_s,
       static_cast<qint64>(std::llround(value.slack_factor * kPermille))},
      {u"target_latency_ms"_s, qint64{value.target_latency.count()}},
  };
}

QJsonObject ToJson(const profile_limits& value) {
  return {{u"max_tasks"_s, ToNumber(value.max_tasks)},
          {u"max_running"_s, ToNumber(value.max_running)},
          {u"max_deadline_ms"_s, qint64{value.max_deadline.count()}}};
}

QJsonObject ToJson(const profile_placement& value) {
  QJsonArray data_centres;
  for (const std::string& name : value.data_centres) {
    data_centres.append(ToJsonText(name));
  }
  return {{u"data_centres"_s, data_centres},
          {u"min_cores"_s, ToNumber(value.min_cores)},
          {u"min_memory_mb"_s, ToNumber(value.min_memory_mb)},
          {u"min_accelerators"_s, ToNumber(value.min_accelerators)}};
}

}  // namespace

QJsonObject ToJson(const profile& value) {
  QJsonObject json = RulesToJson(value);
  json.insert(u"limits"_s, ToJson(value.limits));
  json.insert(u"placement"_s, ToJson(value.placement));
  return json;
}

QJsonObject ToShortJson(const profile& value) {
  QJsonObject json = RulesToJson(value);
  if (value.limits != profile_limits()) {
    json.insert(u"limits"_s, ToJson(value.limits));
  }
  if (value.placement != profile_placement()) {
    json.insert(u"placement"_s, ToJson(value.placement));
  }
  return json;
}

QJsonObject ToJson(const service_binding& value) {
  return {{u"profile"_s, ToJsonText(value.profile)}};
}

QJsonObject ToJson(const route& value) {
  return {{u"host"_s, ToJsonText(value.host)},
          {u"path_prefix"_s, ToJsonText(value.path_prefix)},
          {u"service"_s, ToJsonText(value.service)},
          {u"profile"_s, ToJsonText(value.profile)}};
}

QJsonObject ToJson(const team_quota& value) {
  return {{u"max_running"_s, ToNumber(value.max_running)}};
}

QJsonObject ToJson(const data_centre_state& value) {
  return {{u"out"_s, value.out}};
}

QJsonObject ToJson(const audit_record& value) {
  return {
      {u"revision"_s, ToNumber(value.revision.value)},
      {u"when_ms"_s, qint64{value.when.time_since_epoch().count()}},
      {u"operator"_s, ToJsonText(value.operator_name)},
      {u"reason"_s, ToJsonText(value.reason)},
      {u"item"_s, ToJsonText(value.item)},
      {u"before"_s, ToJsonText(value.before)},
      {u"after"_s, ToJsonText(value.after)},
      {u"token"_s, ToJsonHex(value.token)},
  };
}

profile ReadProfile(const json_object& json) {
  profile value;
  if (json.Has("urgency")) {
    value.urgency = json.Number32("urgency");
  }
  if (json.Has("attempts")) {
    value.attempts = json.Number32("attempts");
  }
  value.slack_factor =
      static_cast<double>(json.Number("slack_factor_permille")) / kPermille;
  value.target_latency =
      std::chrono::milliseconds(json.Number("target_latency_ms"));
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
