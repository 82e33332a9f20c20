#include "jayrill/load/trace.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "jayrill/base/utf8_text.h"
#include "jayrill/job/job_spec.h"
#include "jayrill/load/time_units.h"

namespace jayrill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr double kMaxMilliseconds = 1e9;
constexpr double kDefaultDeadlineMs = 30'000;

/// \returns the time that \p key of \p object gives in milliseconds, or
/// \p fallback_ms when the key is absent; nothing when the result is not a
/// number in range. A negative \p fallback_ms makes the key mandatory.
std::optional<microseconds> ReadMs(const QJsonObject& object,
                                   QLatin1String key,
                                   double fallback_ms) {
  const QJsonValue value = object.value(key);
  const double ms = value.isUndefined() ? fallback_ms : value.toDouble(-1);
  if (!(ms >= 0) || ms > kMaxMilliseconds) {
    return std::nullopt;
  }
  return microseconds(std::llround(ms * kMicrosecondsPerMillisecond));
}

std::optional<planned_task> ReadTask(const QJsonObject& object) {
  const auto work = ReadMs(object, QLatin1String("work_ms"), -1);
  const auto declared = ReadMs(object, QLatin1String("declared_ms"), 0);
  if (!work || !declared) {
    return std::nullopt;
  }
  planned_task task;
  task.kind = object.value(QLatin1String("kind"))
                  .toString(QStringLiteral("trace"))
                  .toStdString();
  task.work = *work;
  task.declared = *declared;
  return task;
}

tl::unexpected<error> BadTrace(std::string message) {
  return MakeError(error_kind::kInvalidArgument, std::move(message),
                   "see the trace format in docs/load.md");
}

}  // namespace

std::string EncodeTraceLine(const planned_job& job) {
  QJsonArray tasks;
  for (const planned_task& task : job.tasks) {
    QJsonObject item{{QStringLiteral("kind"), ToQString(task.kind)},
                     {QStringLiteral("work_ms"), ToMilliseconds(task.work)}};
    if (task.declared.count() > 0) {
      item.insert(QStringLiteral("declared_ms"), ToMilliseconds(task.declared));
    }
    tasks.append(item);
  }
  const QJsonObject line{
      {QStringLiteral("offset_ms"), ToMilliseconds(job.offset)},
      {QStringLiteral("service"), ToQString(job.service)},
      {QStringLiteral("team"), ToQString(job.team)},
      {QStringLiteral("idempotent"), job.idempotent},
      {QStringLiteral("deadline_ms"),
       static_cast<qint64>(job.deadline.count())},
      {QStringLiteral("tasks"), tasks}};
  return QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString();
}

result<planned_job> DecodeTraceLine(std::string_view line) {
  QJsonParseError parse_error;
  const QJsonDocument document = QJsonDocument::fromJson(
      QByteArray(line.data(), static_cast<qsizetype>(line.size())),
      &parse_error);
  if (!document.isObject()) {
    return BadTrace("not a JSON object: " +
                    parse_error.errorString().toStdString());
  }
  const QJsonObject object = document.object();
  const auto offset = ReadMs(object, QLatin1String("offset_ms"), -1);
  const auto deadline =
      ReadMs(object, QLatin1String("deadline_ms"), kDefaultDeadlineMs);
  const QJsonArray tasks = object.value(QLatin1String("tasks")).toArray();
  if (!offset || !deadline) {
    return BadTrace("offset_ms or deadline_ms is missing or out of range");
  }
  if (tasks.isEmpty() ||
      tasks.size() > static_cast<qsizetype>(kMaxTasksPerJob)) {
    return BadTrace("tasks must hold 1 to 1900 tasks");
  }
  planned_job job;
  job.offset = *offset;
  job.service = object.value(QLatin1String("service"))
                    .toString(QStringLiteral("sample"))
                    .toStdString();
  job.team = object.value(QLatin1String("team"))
                 .toString(QStringLiteral("load"))
                 .toStdString();
  job.idempotent = object.value(QLatin1String("idempotent")).toBool(true);
  job.deadline = std::chrono::duration_cast<milliseconds>(*deadline);
  for (const QJsonValue value : tasks) {
    std::optional<planned_task> task = ReadTask(value.toObject());
    if (!task) {
      return BadTrace(
          "work_ms or declared_ms of a task is missing or out of "
          "range");
    }
    job.tasks.push_back(*std::move(task));
  }
  return job;
}

trace_arrivals::trace_arrivals(std::vector<planned_job> jobs)
    : jobs_(std::move(jobs)) {
  std::stable_sort(jobs_.begin(), jobs_.end(),
                   [](const planned_job& a, const planned_job& b) {
                     return a.offset < b.offset;
                   });
}

result<trace_arrivals> trace_arrivals::Parse(std::string_view text) {
  std::vector<planned_job> jobs;
  std::size_t line_number = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    ++line_number;
    if (line.find_first_not_of(" \t\r") == std::string_view::npos) {
      continue;
    }
    result<planned_job> job = DecodeTraceLine(line);
    if (!job) {
      return BadTrace("line " + std::to_string(line_number) + ": " +
                      job.error().message);
    }
    jobs.push_back(*std::move(job));
  }
  return trace_arrivals(std::move(jobs));
}

std::optional<planned_job> trace_arrivals::Next() {
  if (next_ == jobs_.size()) {
    return std::nullopt;
  }
  return jobs_[next_++];
}

}  // namespace jayrill
