#include "jayrill/load/report_format.h"

#include <absl/strings/str_format.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <optional>

#include "jayrill/load/time_units.h"

namespace jayrill {
namespace {

constexpr double kMedian = 0.5;
constexpr double kP90 = 0.9;
constexpr double kP99 = 0.99;
constexpr double kPercent = 100.0;

std::optional<double> Quotient(std::optional<double> a,
                               std::optional<double> b) {
  return a && b && *b > 0 ? std::optional<double>(*a / *b) : std::nullopt;
}

/// \returns messages per completed task; nothing when the number of messages is
/// not known or no task was completed.
std::optional<double> MessagesPerTask(const load_report& report) {
  return Quotient(report.messages().messages,
                  static_cast<double>(report.tasks_completed()));
}

std::string FormatDistribution(const char* name,
                               const char* unit,
                               const log_histogram& values) {
  return absl::StrFormat(
      "%-22s median %.3f%s, 90th %.3f%s, 99th %.3f%s, maximum %.3f%s\n", name,
      values.Quantile(kMedian), unit, values.Quantile(kP90), unit,
      values.Quantile(kP99), unit, values.max(), unit);
}

QJsonObject EncodeDistribution(const log_histogram& values) {
  return {{QStringLiteral("median"), values.Quantile(kMedian)},
          {QStringLiteral("p90"), values.Quantile(kP90)},
          {QStringLiteral("p99"), values.Quantile(kP99)},
          {QStringLiteral("max"), values.max()},
          {QStringLiteral("mean"), values.mean()},
          {QStringLiteral("count"), static_cast<qint64>(values.count())}};
}

QJsonValue EncodeOptional(std::optional<double> value) {
  return value ? QJsonValue(*value) : QJsonValue();
}

QJsonValue EncodeCount(std::uint64_t value) {
  return {static_cast<qint64>(value)};
}

std::string FormatMessages(const load_report& report) {
  const std::optional<double> per_task = MessagesPerTask(report);
  const std::optional<double> wasted =
      Quotient(report.messages().wasted, report.messages().messages);
  std::string text = absl::StrFormat("%-22s ", "messages");
  text += per_task ? absl::StrFormat("%.2f per completed task", *per_task)
                   : "not known";
  text += wasted ? absl::StrFormat(", wasted %.2f %%", *wasted * kPercent)
                 : ", wasted not known";
  return text + "\n";
}

}  // namespace

std::string FormatReport(const load_report& report) {
  std::string text =
      FormatDistribution("response over ideal", "", report.slowdowns()) +
      FormatDistribution("response time", " ms", report.latencies_ms());
  text += absl::StrFormat(
      "%-22s %d sent, %d whole (%d by deadline), %d refused as not run, "
      "%d failed\n",
      "jobs", report.sent(), report.completed(), report.completed_by_deadline(),
      report.refused(), report.failed());
  for (const auto& [name, count] : report.failures()) {
    text += absl::StrFormat("  %-20s %d\n", name, count);
  }
  text += absl::StrFormat("%-22s %d completed in %.1f s, %.1f per second\n",
                          "tasks", report.tasks_completed(),
                          ToSeconds(report.elapsed()), report.TaskRate());
  text += FormatMessages(report);
  text += absl::StrFormat("%-22s Jain's index %.4f on mean slowdown\n",
                          "fairness of teams", report.Fairness());
  for (const auto& [name, team] : report.teams()) {
    text += absl::StrFormat("  %-20s %d whole, mean slowdown %.3f\n", name,
                            team.completed, team.MeanSlowdown());
  }
  text += absl::StrFormat("%-22s %d of %d, at most %.1f ms\n", "late sends",
                          report.late_sends(), report.sent(),
                          ToMilliseconds(report.max_lateness()));
  return text;
}

std::string EncodeReport(const load_report& report) {
  QJsonObject failures;
  for (const auto& [name, count] : report.failures()) {
    failures.insert(QString::fromStdString(name), EncodeCount(count));
  }
  QJsonObject teams;
  for (const auto& [name, team] : report.teams()) {
    teams.insert(
        QString::fromStdString(name),
        QJsonObject{{QStringLiteral("whole"), EncodeCount(team.completed)},
                    {QStringLiteral("mean_slowdown"), team.MeanSlowdown()}});
  }
  const metric_totals& messages = report.messages();
  const QJsonObject object{
      {QStringLiteral("response_over_ideal"),
       EncodeDistribution(report.slowdowns())},
      {QStringLiteral("response_ms"),
       EncodeDistribution(report.latencies_ms())},
      {QStringLiteral("jobs_sent"), EncodeCount(report.sent())},
      {QStringLiteral("jobs_whole"), EncodeCount(report.completed())},
      {QStringLiteral("jobs_whole_by_deadline"),
       EncodeCount(report.completed_by_deadline())},
      {QStringLiteral("jobs_refused"), EncodeCount(report.refused())},
      {QStringLiteral("jobs_failed"), EncodeCount(report.failed())},
      {QStringLiteral("failures"), failures},
      {QStringLiteral("tasks_completed"),
       EncodeCount(report.tasks_completed())},
      {QStringLiteral("tasks_per_second"), report.TaskRate()},
      {QStringLiteral("elapsed_s"), ToSeconds(report.elapsed())},
      {QStringLiteral("messages"), EncodeOptional(messages.messages)},
      {QStringLiteral("wasted_messages"), EncodeOptional(messages.wasted)},
      {QStringLiteral("starts"), EncodeOptional(messages.starts)},
      {QStringLiteral("messages_per_task"),
       EncodeOptional(MessagesPerTask(report))},
      {QStringLiteral("wasted_share"),
       EncodeOptional(Quotient(messages.wasted, messages.messages))},
      {QStringLiteral("fairness"), report.Fairness()},
      {QStringLiteral("teams"), teams},
      {QStringLiteral("late_sends"), EncodeCount(report.late_sends())},
      {QStringLiteral("max_lateness_ms"),
       ToMilliseconds(report.max_lateness())}};
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

}  // namespace jayrill
