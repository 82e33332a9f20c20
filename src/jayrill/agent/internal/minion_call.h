#ifndef JAYRILL_AGENT_INTERNAL_MINION_CALL_H_
#define JAYRILL_AGENT_INTERNAL_MINION_CALL_H_

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QObject>
#include <functional>

#include "jayrill/agent/agent_settings.h"
#include "jayrill/agent/task_call.h"
#include "jayrill/base/clock.h"
#include "jayrill/base/upload_device.h"
#include "jayrill/job/task_result.h"

namespace jayrill::agent::internal {

/// One HTTP request that runs a task on the minion. Runs on the Qt thread and
/// deletes itself when the request has ended.
///
/// The outcome may be reported before that: a task that misses its deadline is
/// reported as unknown, and its slot stays in use until the minion answers or
/// agent_settings::slot_hold_limit has passed.
class minion_call final : public QObject {
 public:
  minion_call(const task_call& call,
              const agent_settings& settings,
              const clock& time,
              QNetworkAccessManager& network_manager,
              QObject* parent);
  ~minion_call() override;

  /// Sends the request. \p on_result is called once with the outcome, then
  /// \p on_end once when the request has ended. Neither is called when the
  /// object is destroyed first.
  void Start(std::function<void(task_result)> on_result,
             std::function<void()> on_end);

 private:
  QNetworkRequest MakeRequest() const;
  void OnReadyRead();
  void OnDeadline();
  void OnFinished();
  /// Calls on_result_ unless an outcome was reported already.
  void Report(task_outcome outcome, std::string message);
  /// \returns the outcome of the finished request.
  task_result ClassifyReply();

  const task_call call_;
  const agent_settings& settings_;
  const clock& time_;
  QNetworkAccessManager& network_manager_;
  upload_device body_;
  steady_time started_;
  QNetworkReply* reply_ = nullptr;
  bool reported_ = false;
  std::function<void(task_result)> on_result_;
  std::function<void()> on_end_;
};

}  // namespace jayrill::agent::internal

#endif  // JAYRILL_AGENT_INTERNAL_MINION_CALL_H_
