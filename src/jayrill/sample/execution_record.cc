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
  entry& counted = tasks_[{job, task}];
  if (counted.count++ == 0) {
    counted.first = now;
    counted.tag = tag;
  }
}

std::uint64_t execution_record::CountOf(const std::string& job,
                                        const std::string& task) const {
  const auto found = tasks_.find({job, task});
  return found == tasks_.end() ? 0 : found->second.count;
}

QByteArray execution_record::ToJson() const {
  QJsonArray tasks;
  for (const auto& [key, counted] : tasks_) {
    tasks.append(QJsonObject{
        {QStringLiteral("job"), QString::fromStdString(key.first)},
        {QStringLiteral("task"), QString::fromStdString(key.second)},
        {QStringLiteral("tag"), QString::fromStdString(counted.tag)},
        {QStringLiteral("count"), static_cast<qint64>(counted.count)},
        {QStringLiteral("first_start_unix_ms"),
         static_cast<qint64>(counted.first.time_since_epoch().count())}});
  }
  const QJsonObject record{
      {QStringLiteral("total"), static_cast<qint64>(total_)},
      {QStringLiteral("tasks"), tasks}};
  return QJsonDocument(record).toJson(QJsonDocument::Compact);
}

}  // namespace jayrill
