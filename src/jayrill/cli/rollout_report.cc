#include "jayrill/cli/rollout_report.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <QJsonArray>

namespace jayrill {
namespace {

/// Adds the process that \p item describes to \p report as \p name.
void AddProcess(const QJsonObject& item,
                const std::string& name,
                rollout_report& report) {
  ++report.total;
  if (!item.value(QLatin1String("connected")).toBool(true)) {
    report.silent.push_back(name);
  } else if (item.value(QLatin1String("revision")).toInteger() <
             report.revision) {
    report.behind.push_back(name);
  } else {
    ++report.in_force;
  }
}

void AddProcesses(const QJsonObject& status,
                  QLatin1String key,
                  const char* role,
                  rollout_report& report) {
  for (const QJsonValue value : status.value(key).toArray()) {
    const QJsonObject item = value.toObject();
    const std::string id =
        item.value(QLatin1String("id")).toString().toStdString();
    AddProcess(item, absl::StrCat(role, " ", id), report);
  }
}

}  // namespace

rollout_report ReadRollout(const QJsonObject& status, std::int64_t revision) {
  rollout_report report;
  report.revision = revision;
  AddProcesses(status, QLatin1String("entries"), "entry", report);
  // A status without a list of entries is that of a single entry.
  if (report.total == 0) {
    AddProcess(status, "entry", report);
  }
  AddProcesses(status, QLatin1String("agents"), "agent", report);
  return report;
}

std::string ToString(const rollout_report& report) {
  std::string text =
      absl::StrCat("revision ", report.revision, " is in force at ",
                   report.in_force, " of ", report.total, " processes");
  if (!report.behind.empty()) {
    absl::StrAppend(&text, "; behind: ", absl::StrJoin(report.behind, ", "));
  }
  absl::StrAppend(
      &text, "; silent: ",
      report.silent.empty() ? "none" : absl::StrJoin(report.silent, ", "));
  return text;
}

}  // namespace jayrill
