#ifndef JAYRILL_AGENT_INTERNAL_MINION_CALL_H_
#define JAYRILL_AGENT_INTERNAL_MINION_CALL_H_

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QObject>
#include <functional>

#include "jayrill/agent/agent_settings.h"
#include "jayrill/agent/internal/upload_device.h"
#include "jayrill/agent/task_call.h"
#include "jayrill/base/clock.h"
#include "jayrill/job/task_result.h"

namespace jayrill::agent::internal {

/// One request to the minion. Deletes itself when it has ended.
class minion_call final : public QObject {
 public:
  minion_call(const task_call& call,
              const agent_settings& settings,
              const clock& time,
              QNetworkAccessManager& access,
              QObject* parent);
  ~minion_call() override;

  /// Sends the request. \p on_result and then \p on_end are called once each.
  void Start(std::function<void(task_result)> on_result,
             std::function<void()> on_end);

 private:
  QNetworkRequest MakeRequest() const;
  void OnReadyRead();
  void OnDeadline();
  void OnFinished();
  void Report(task_outcome outcome, std::string message);
  task_result Judge();

  const task_call call_;
  const agent_settings& settings_;
  const clock& time_;
  QNetworkAccessManager& access_;
  upload_device body_;
  steady_time started_;
  QNetworkReply* reply_ = nullptr;
  bool reported_ = false;
  std::function<void(task_result)> on_result_;
  std::function<void()> on_end_;
};

}  // namespace jayrill::agent::internal

#endif  // JAYRILL_AGENT_INTERNAL_MINION_CALL_H_
