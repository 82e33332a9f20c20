#include "jayrill/load/job_request.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <chrono>

#include "jayrill/base/utf8_text.h"

namespace jayrill {
namespace {

constexpr int kHttpOk = 200;

qint64 WholeMs(std::chrono::microseconds time) {
  return std::chrono::round<std::chrono::milliseconds>(time).count();
}

}  // namespace

QByteArray EncodeJobRequest(const planned_job& job,
                            const std::string& request_key) {
  QJsonArray tasks;
  for (const planned_task& task : job.tasks) {
    QJsonObject item{
        {QStringLiteral("kind"), ToQString(task.kind)},
        {QStringLiteral("payload"),
         QJsonObject{{QStringLiteral("work_ms"), WholeMs(task.work)}}}};
    if (task.declared.count() > 0) {
      item.insert(QStringLiteral("declared_ms"),
                  std::max<qint64>(1, WholeMs(task.declared)));
    }
    if (!task.preferred_rack.empty()) {
      item.insert(QStringLiteral("preferred_rack"),
                  ToQString(task.preferred_rack));
    }
    tasks.append(item);
  }
  QJsonObject body{{QStringLiteral("service"), ToQString(job.service)},
                   {QStringLiteral("team"), ToQString(job.team)},
                   {QStringLiteral("idempotent"), job.idempotent},
                   {QStringLiteral("deadline_ms"),
                    static_cast<qint64>(job.deadline.count())},
                   {QStringLiteral("tasks"), tasks}};
  if (job.same_rack) {
    body.insert(QStringLiteral("same_rack"), true);
  }
  if (!request_key.empty()) {
    body.insert(QStringLiteral("request_key"), ToQString(request_key));
  }
  return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

job_answer_summary ReadJobAnswer(int status,
                                 const QByteArray& body,
                                 std::size_t tasks) {
  const QJsonObject answer = QJsonDocument::fromJson(body).object();
  const QString outcome = answer.value(QLatin1String("outcome")).toString();
  const auto results = static_cast<std::size_t>(
      answer.value(QLatin1String("results")).toArray().size());
  if (status == kHttpOk && outcome == QLatin1String("complete") &&
      results == tasks) {
    return {true, {}, {}};
  }
  const QJsonObject failure = answer.value(QLatin1String("error")).toObject();
  const QString effect = failure.value(QLatin1String("effect")).toString();
  if (status == kHttpOk || effect.isEmpty()) {
    return {false, "no_answer", "http_" + std::to_string(status)};
  }
  return {false, effect.toStdString(),
          failure.value(QLatin1String("code")).toString().toStdString()};
}

}  // namespace jayrill
