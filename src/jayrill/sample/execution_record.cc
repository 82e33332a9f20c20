#include "jayrill/sample/execution_record.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace jayrill {

void execution_record::Add(const std::string& job,
                           const std::string& task,
                           const std::string& tag,
                           wall_time now) {
  ++total_;
  task_executions& executions = tasks_[{job, task}];
  if (executions.count++ == 0) {
    executions.first = now;
    executions.tag = tag;
  }
}

std::uint64_t execution_record::CountOf(const std::string& job,
                                        const std::string& task) const {
  const auto found = tasks_.find({job, task});
  return found == tasks_.end() ? 0 : found->second.count;
}

QByteArray execution_record::ToJson() const {
  QJsonArray tasks;
  for (const auto& [key, executions] : tasks_) {
    tasks.append(QJsonObject{
        {QStringLiteral("job"), QString::fromStdString(key.first)},
        {QStringLiteral("task"), QString::fromStdString(key.second)},
        {QStringLiteral("tag"), QString::fromStdString(executions.tag)},
        {QStringLiteral("count"), static_cast<qint64>(executions.count)},
        {QStringLiteral("first_start_unix_ms"),
         static_cast<qint64>(executions.first.time_since_epoch().count())}});
  }
  const QJsonObject record{
      {QStringLiteral("total"), static_cast<qint64>(total_)},
      {QStringLiteral("tasks"), tasks}};
  return QJsonDocument(record).toJson(QJsonDocument::Compact);
}

}  // namespace jayrill
