#include <absl/flags/flag.h>

#include <QJsonArray>
#include <iostream>

#include "jayrill/base/name.h"
#include "jayrill/cli/command.h"
#include "jayrill/cli/flags.h"
#include "jayrill/cli/operator_session.h"
#include "jayrill/cli/setting_rules.h"
#include "jayrill/cli/text_table.h"

namespace jayrill {
namespace {

/// A column of a list: its header and the path of its JSON field, separated by
/// dots.
struct list_column {
  const char* header;
  const char* field;
};

QJsonValue FieldAt(const QJsonObject& item, const char* path) {
  QJsonValue value = item;
  for (const QString& part :
       QString::fromLatin1(path).split(QLatin1Char('.'))) {
    value = value.toObject().value(part);
  }
  return value;
}

/// A kind of configuration item, such as profiles. Each item has a name.
struct config_kind {
  const char* name;
  const char* path;        ///< HTTP path, to which the name is appended.
  const char* collection;  ///< JSON key in /v1/config.
  std::span<const list_column> columns;
  QJsonObject (*body)();  ///< Builds the body of `set` from the flags.
};

void PrintItems(const config_kind& kind, const QJsonObject& items) {
  std::vector<std::string> header{"NAME"};
  for (const list_column& column : kind.columns) {
    header.emplace_back(column.header);
  }
  text_table table(std::move(header));
  for (auto item = items.begin(); item != items.end(); ++item) {
    std::vector<std::string> row{item.key().toStdString()};
    for (const list_column& column : kind.columns) {
      row.push_back(CellText(FieldAt(item->toObject(), column.field)));
    }
    table.AddRow(std::move(row));
  }
  std::cout << table.ToString();
}

/// Prints all items of \p kind, or only the one called \p name if it is not
/// empty.
int PrintList(const operator_session& session,
              const config_kind& kind,
              const std::string& name) {
  const result<QJsonObject> config = session.client().Get("/v1/config");
  if (!config) {
    return operator_session::PrintError(config.error());
  }
  QJsonObject items = config->value(QLatin1String(kind.collection)).toObject();
  if (!name.empty()) {
    const QString key = QString::fromStdString(name);
    if (!items.contains(key)) {
      return operator_session::PrintError(
          {error_kind::kNotFound,
           std::string("there is no ") + kind.name + " " + name,
           std::string("see jayrill ") + kind.name + " list"});
    }
    items = {{key, items.value(key)}};
  }
  if (absl::GetFlag(FLAGS_json)) {
    PrintJson(
        {{QStringLiteral("revision"), config->value(QLatin1String("revision"))},
         {QLatin1String(kind.collection), items}});
  } else {
    PrintItems(kind, items);
  }
  return kExitOk;
}

int RunConfigCommand(const config_kind& kind, const command_input& input) {
  const std::string& verb = input.positional[0];
  const std::string name =
      input.positional.size() > 1 ? input.positional[1] : "";
  const operator_session session;
  if (verb == "list" && name.empty()) {
    return PrintList(session, kind, "");
  }
  const bool is_known = verb == "show" || verb == "set" || verb == "remove";
  if (!is_known || !IsValidName(name)) {
    return operator_session::PrintUsageError(
        std::string("usage: jayrill ") + kind.name +
        " list, or set|show|remove NAME with a name of 1 to 64 letters, "
        "digits, '_', '-' or '.'");
  }
  if (verb == "show") {
    return PrintList(session, kind, name);
  }
  const std::string path = std::string(kind.path) + name;
  return verb == "set" ? session.Change("PUT", path, kind.body())
                       : session.Change("DELETE", path, {});
}

QJsonObject ProfileBody() {
  QJsonArray data_centres;
  for (const std::string& name : absl::GetFlag(FLAGS_data_centres)) {
    data_centres.append(QString::fromStdString(name));
  }
  const QJsonObject limits{
      {QStringLiteral("max_tasks"),
       static_cast<qint64>(absl::GetFlag(FLAGS_max_tasks))},
      {QStringLiteral("max_running"),
       static_cast<qint64>(absl::GetFlag(FLAGS_max_running))},
      {QStringLiteral("max_deadline_ms"),
       static_cast<qint64>(absl::GetFlag(FLAGS_max_deadline_ms))}};
  const QJsonObject placement{
      {QStringLiteral("data_centres"), data_centres},
      {QStringLiteral("min_cores"),
       static_cast<qint64>(absl::GetFlag(FLAGS_min_cores))},
      {QStringLiteral("min_memory_mb"),
       static_cast<qint64>(absl::GetFlag(FLAGS_min_memory_mb))},
      {QStringLiteral("min_accelerators"),
       static_cast<qint64>(absl::GetFlag(FLAGS_min_accelerators))}};
  return {{QStringLiteral("urgency"),
           static_cast<qint64>(absl::GetFlag(FLAGS_urgency))},
          {QStringLiteral("limits"), limits},
          {QStringLiteral("placement"), placement}};
}

QJsonObject ServiceBody() {
  return {{QStringLiteral("profile"),
           QString::fromStdString(absl::GetFlag(FLAGS_profile))}};
}

QJsonObject TeamBody() {
  return {{QStringLiteral("max_running"),
           static_cast<qint64>(absl::GetFlag(FLAGS_max_running))}};
}

constexpr list_column kProfileColumns[] = {
    {"URGENCY", "urgency"},
    {"MAX_TASKS", "limits.max_tasks"},
    {"MAX_RUNNING", "limits.max_running"},
    {"MAX_DEADLINE_MS", "limits.max_deadline_ms"},
    {"DATA_CENTRES", "placement.data_centres"},
    {"MIN_CORES", "placement.min_cores"},
    {"MIN_MEMORY_MB", "placement.min_memory_mb"},
    {"MIN_ACCELERATORS", "placement.min_accelerators"},
    {"CHANGED", "changed"},
};
constexpr list_column kServiceColumns[] = {{"PROFILE", "profile"},
                                           {"CHANGED", "changed"}};
constexpr list_column kTeamColumns[] = {{"MAX_RUNNING", "max_running"},
                                        {"CHANGED", "changed"}};
constexpr list_column kDataCentreColumns[] = {{"OUT", "out"},
                                              {"CHANGED", "changed"}};

constexpr config_kind kProfileKind{"profile", "/v1/profiles/", "profiles",
                                   kProfileColumns, ProfileBody};
constexpr config_kind kServiceKind{"service", "/v1/services/", "services",
                                   kServiceColumns, ServiceBody};
constexpr config_kind kTeamKind{"team", "/v1/teams/", "teams", kTeamColumns,
                                TeamBody};
constexpr config_kind kDataCentreKind{"data-centre", "/v1/data-centres/",
                                      "data_centres", kDataCentreColumns,
                                      nullptr};

}  // namespace

int RunProfile(const command_input& input) {
  return RunConfigCommand(kProfileKind, input);
}

int RunService(const command_input& input) {
  if (input.positional[0] == "set" && absl::GetFlag(FLAGS_profile).empty()) {
    return operator_session::PrintUsageError(
        "a service needs a profile; give --profile=NAME");
  }
  return RunConfigCommand(kServiceKind, input);
}

int RunTeam(const command_input& input) {
  return RunConfigCommand(kTeamKind, input);
}

int RunDataCentre(const command_input& input) {
  const std::string& verb = input.positional[0];
  const operator_session session;
  if (verb == "list" && input.positional.size() == 1) {
    return PrintList(session, kDataCentreKind, "");
  }
  const bool is_known = verb == "out" || verb == "in" || verb == "declare";
  if (!is_known || input.positional.size() != 2 ||
      !IsValidName(input.positional[1])) {
    return operator_session::PrintUsageError(
        "usage: jayrill data-centre list, or out|in|declare NAME");
  }
  const std::string path = kDataCentreKind.path + input.positional[1];
  if (verb == "declare") {
    return session.Change("PUT", path, {});
  }
  QJsonObject body;
  if (verb == "out" && absl::GetFlag(FLAGS_force)) {
    body.insert(QStringLiteral("force"), true);
  }
  return session.Change("POST", path + "/" + verb, body);
}

}  // namespace jayrill
