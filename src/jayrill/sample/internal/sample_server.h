#ifndef JAYRILL_SAMPLE_INTERNAL_SAMPLE_SERVER_H_
#define JAYRILL_SAMPLE_INTERNAL_SAMPLE_SERVER_H_

#include <QAbstractHttpServer>
#include <QByteArray>
#include <QPointer>
#include <QTcpSocket>

#include "jayrill/base/clock.h"
#include "jayrill/sample/execution_record.h"
#include "jayrill/sample/sample_settings.h"

namespace jayrill::sample::internal {

/// The HTTP server of a sample backend: runs tasks (`POST /run`), returns the
/// execution record (`GET /executions`) and sets the fault (`POST /fault`).
/// Writes directly to the socket, because some faults need answers that are not
/// valid HTTP. Runs on the thread of its event loop.
class sample_server final : public QAbstractHttpServer {
 public:
  sample_server(const sample_settings& settings, const clock& time)
      : settings_(settings), time_(time), fault_(settings.fault) {}

  void SetFault(sample_fault fault) { fault_ = fault; }
  std::uint32_t running() const { return running_; }
  const execution_record& record() const { return record_; }

 protected:
  bool handleRequest(const QHttpServerRequest& request,
                     QTcpSocket* socket) override;
  void missingHandler(const QHttpServerRequest& request,
                      QTcpSocket* socket) override;

 private:
  void HandleRun(const QHttpServerRequest& request, QTcpSocket* socket);
  void HandleFault(const QHttpServerRequest& request, QTcpSocket* socket);
  /// Answers a task unless the client has closed the connection.
  void FinishTask(const QPointer<QTcpSocket>& socket, const QByteArray& answer);
  /// Answers a task as the current fault demands.
  void ApplyFault(QTcpSocket* socket, const QByteArray& answer);

  const sample_settings& settings_;
  const clock& time_;
  sample_fault fault_;
  std::uint32_t running_ = 0;
  execution_record record_;
};

}  // namespace jayrill::sample::internal

#endif  // JAYRILL_SAMPLE_INTERNAL_SAMPLE_SERVER_H_
