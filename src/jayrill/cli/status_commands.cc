#include <absl/flags/flag.h>

#include <QDateTime>
#include <QJsonArray>
#include <algorithm>
#include <iostream>

#include "jayrill/cli/command.h"
#include "jayrill/cli/flags.h"
#include "jayrill/cli/operator_session.h"
#include "jayrill/cli/rollout_report.h"
#include "jayrill/cli/text_table.h"

namespace jayrill {
namespace {

/// Prints the array \p items as a table with one column for each of \p fields.
/// Fields that no item has are left out.
void PrintArray(const QJsonArray& items, std::vector<std::string> fields) {
  std::erase_if(fields, [&](const std::string& field) {
    return std::none_of(items.begin(), items.end(), [&](const auto& item) {
      return item.toObject().contains(QString::fromStdString(field));
    });
  });
  if (fields.empty()) {
    return;
  }
  text_table table(fields);
  for (const QJsonValue item : items) {
    std::vector<std::string> row;
    row.reserve(fields.size());
    for (const std::string& field : fields) {
      row.push_back(
          CellText(item.toObject().value(QString::fromStdString(field))));
    }
    table.AddRow(std::move(row));
  }
  std::cout << table.ToString();
}

void PrintStatus(const QJsonObject& status) {
  const std::int64_t revision =
      status.value(QLatin1String("revision")).toInteger();
  std::cout << ToString(ReadRollout(status, revision)) << "\n\n";
  for (auto field = status.begin(); field != status.end(); ++field) {
    // Arrays of objects are printed as tables below.
    const bool is_table =
        field->isArray() && field->toArray().first().isObject();
    if (!is_table) {
      const std::string text = CellText(*field);
      std::cout << field.key().toStdString() << ": "
                << (text.empty() ? "none" : text) << "\n";
    }
  }
  const QJsonArray entries = status.value(QLatin1String("entries")).toArray();
  if (!entries.isEmpty()) {
    std::cout << "\nentries\n";
    PrintArray(entries, {"id", "data_centre", "connected", "revision", "http",
                         "rpc", "agents", "isolated", "draining"});
  }
  const QJsonArray agents = status.value(QLatin1String("agents")).toArray();
  if (!agents.isEmpty()) {
    std::cout << "\nagents\n";
    PrintArray(agents, {"id", "data_centre", "worker", "rack", "connected",
                        "silent_for_ms", "revision", "service", "slots", "busy",
                        "queued", "outstanding", "draining"});
  }
}

void PrintAudit(const QJsonArray& records) {
  text_table table(
      {"REVISION", "WHEN", "OPERATOR", "ITEM", "REASON", "BEFORE", "AFTER"});
  for (const QJsonValue value : records) {
    const QJsonObject record = value.toObject();
    const QJsonValue when = record.value(QLatin1String("when_ms"));
    const QString time =
        when.isDouble()
            ? QDateTime::fromMSecsSinceEpoch(when.toInteger(), Qt::UTC)
                  .toString(Qt::ISODate)
            : record.value(QLatin1String("when")).toVariant().toString();
    table.AddRow({CellText(record.value(QLatin1String("revision"))),
                  time.toStdString(),
                  CellText(record.value(QLatin1String("operator"))),
                  CellText(record.value(QLatin1String("item"))),
                  CellText(record.value(QLatin1String("reason"))),
                  CellText(record.value(QLatin1String("before"))),
                  CellText(record.value(QLatin1String("after")))});
  }
  std::cout << table.ToString();
}

/// \returns the newest \p limit of \p records, newest first. \p records has the
/// oldest first.
QJsonArray NewestFirst(const QJsonArray& records, std::int64_t limit) {
  QJsonArray newest;
  for (qsizetype i = records.size(); i > 0 && newest.size() < limit; --i) {
    newest.append(records[i - 1]);
  }
  return newest;
}

}  // namespace

int RunStatus(const command_input& /*input*/) {
  const operator_session session;
  const result<QJsonObject> status = session.client().Get("/v1/status");
  if (!status) {
    return operator_session::PrintError(status.error());
  }
  if (absl::GetFlag(FLAGS_json)) {
    PrintJson(*status);
  } else {
    PrintStatus(*status);
  }
  return kExitOk;
}

int RunAudit(const command_input& /*input*/) {
  const operator_session session;
  const result<QJsonObject> audit = session.client().Get("/v1/audit");
  if (!audit) {
    return operator_session::PrintError(audit.error());
  }
  const QJsonArray records =
      NewestFirst(audit->value(QLatin1String("records")).toArray(),
                  absl::GetFlag(FLAGS_limit));
  if (absl::GetFlag(FLAGS_json)) {
    PrintJson({{QStringLiteral("records"), records}});
  } else {
    PrintAudit(records);
  }
  return kExitOk;
}

}  // namespace jayrill
