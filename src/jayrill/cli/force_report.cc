#include "jayrill/cli/force_report.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <QJsonArray>

namespace jayrill {
namespace {

/// Adds the process \p item, called \p name, to \p report.
void Add(const QJsonObject& item,
         const std::string& name,
         force_report& report) {
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

void AddAll(const QJsonObject& status,
            QLatin1String key,
            const char* role,
            force_report& report) {
  for (const QJsonValue value : status.value(key).toArray()) {
    const QJsonObject item = value.toObject();
    const std::string id =
        item.value(QLatin1String("id")).toString().toStdString();
    Add(item, absl::StrCat(role, " ", id), report);
  }
}

}  // namespace

force_report ReadForce(const QJsonObject& status, std::int64_t revision) {
  force_report report;
  report.revision = revision;
  AddAll(status, QLatin1String("entries"), "entry", report);
  if (report.total == 0) {
    Add(status, "entry", report);
  }
  AddAll(status, QLatin1String("agents"), "agent", report);
  return report;
}

std::string ToString(const force_report& report) {
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
