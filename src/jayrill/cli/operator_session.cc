#include "jayrill/cli/operator_session.h"

#include <absl/flags/flag.h>

#include <QEventLoop>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <chrono>
#include <iostream>

#include "jayrill/cli/command.h"
#include "jayrill/cli/flags.h"
#include "jayrill/cli/rollout_report.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{200};

operator_options OptionsFromFlags() {
  operator_options options;
  options.entries = absl::GetFlag(FLAGS_entry);
  options.name = absl::GetFlag(FLAGS_operator_name);
  options.secret = absl::GetFlag(FLAGS_operator_secret);
  options.timeout = milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  return options;
}

void Pause(milliseconds time) {
  QEventLoop loop;
  QTimer::singleShot(time, &loop, &QEventLoop::quit);
  loop.exec();
}

QJsonArray ToJson(const std::vector<std::string>& names) {
  QJsonArray list;
  for (const std::string& name : names) {
    list.append(QString::fromStdString(name));
  }
  return list;
}

}  // namespace

operator_session::operator_session()
    : application_(argc_, nullptr), client_(OptionsFromFlags()) {}

int operator_session::Change(const QByteArray& method,
                             const std::string& path,
                             const QJsonObject& body) const {
  const std::string reason = absl::GetFlag(FLAGS_reason);
  if (reason.empty()) {
    return PrintUsageError(
        "a change needs a reason for the audit trail; give "
        "--reason or set JAYRILL_REASON");
  }
  const std::int64_t base = absl::GetFlag(FLAGS_base_revision);
  const result<std::int64_t> revision = client_.Change(
      method, path, body, reason,
      base < 0 ? std::nullopt : std::optional<std::int64_t>(base));
  if (!revision) {
    return PrintError(revision.error());
  }
  if (!absl::GetFlag(FLAGS_json)) {
    std::cout << "accepted at revision " << *revision << std::endl;
  }
  const rollout_report report = ReadRollout(AwaitRollout(*revision), *revision);
  if (absl::GetFlag(FLAGS_json)) {
    PrintJson(
        {{QStringLiteral("revision"), static_cast<qint64>(*revision)},
         {QStringLiteral("in_force"), static_cast<qint64>(report.in_force)},
         {QStringLiteral("processes"), static_cast<qint64>(report.total)},
         {QStringLiteral("behind"), ToJson(report.behind)},
         {QStringLiteral("silent"), ToJson(report.silent)}});
  } else {
    std::cout << ToString(report) << "\n";
  }
  return kExitOk;
}

QJsonObject operator_session::AwaitRollout(std::int64_t revision) const {
  const auto limit = std::chrono::steady_clock::now() +
                     milliseconds(absl::GetFlag(FLAGS_wait_ms));
  while (true) {
    QJsonObject status = client_.Get("/v1/status").value_or(QJsonObject());
    // Disconnected processes are reported as silent, but not waited for.
    if (ReadRollout(status, revision).behind.empty() ||
        std::chrono::steady_clock::now() >= limit) {
      return status;
    }
    Pause(kPollInterval);
  }
}

int operator_session::PrintError(const error& failure) {
  std::cerr << "jayrill: " << failure.message;
  if (!failure.remedy.empty()) {
    std::cerr << "\n  remedy: " << failure.remedy;
  }
  std::cerr << "\n";
  return kExitFailed;
}

int operator_session::PrintUsageError(const std::string& message) {
  std::cerr << "jayrill: " << message << "\n";
  return kExitUsage;
}

void PrintJson(const QJsonObject& object) {
  std::cout << QJsonDocument(object).toJson().toStdString();
}

std::string CellText(const QJsonValue& value) {
  if (value.isArray()) {
    std::string text;
    for (const QJsonValue item : value.toArray()) {
      text += (text.empty() ? "" : ",") + CellText(item);
    }
    return text;
  }
  if (value.isObject()) {
    return QJsonDocument(value.toObject())
        .toJson(QJsonDocument::Compact)
        .toStdString();
  }
  if (value.isBool()) {
    return value.toBool() ? "yes" : "no";
  }
  return value.toVariant().toString().toStdString();
}

}  // namespace jayrill
