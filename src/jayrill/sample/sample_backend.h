#ifndef JAYRILL_SAMPLE_SAMPLE_BACKEND_H_
#define JAYRILL_SAMPLE_SAMPLE_BACKEND_H_

#include <QNetworkAccessManager>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>

#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/sample/execution_record.h"
#include "jayrill/sample/sample_settings.h"

namespace jayrill {

namespace sample::internal {
class sample_server;
}  // namespace sample::internal

/// A minion for tests and demonstrations. Each task waits for the `work_ms` of
/// its payload, multiplied by the slowness of the backend, and returns the
/// payload. Runs on the thread that creates it, which needs a Qt event loop.
class sample_backend final {
 public:
  sample_backend(sample_settings settings, const clock& time);
  ~sample_backend();
  sample_backend(const sample_backend&) = delete;
  sample_backend& operator=(const sample_backend&) = delete;

  /// Listens for tasks and, when an agent is set, announces the backend to it
  /// periodically.
  /// \returns an error kUnavailable when the address cannot be listened on.
  result<void> Start();

  /// Leaves the agent and finishes running tasks. \p stopped is called when
  /// neither the backend nor the agent counts a running task.
  void Stop(std::function<void()> stopped);

  /// Tells the agent that this minion leaves, and stops announcing.
  void Leave();

  /// Sets the fault of all answers from now on, as `POST /fault` with the name
  /// of the fault does.
  void SetFault(sample_fault fault);

  std::uint16_t port() const;
  std::uint32_t running() const;  ///< Number of running tasks.
  const execution_record& record() const;

 private:
  void Announce();
  QNetworkReply* Post(const char* path, const QByteArray& body);
  /// Repeats the call to leave, whose answer holds the number of tasks that the
  /// agent has running.
  void PollUntilIdle();
  void OnLeaveAnswered(QNetworkReply* reply);

  const sample_settings settings_;
  std::unique_ptr<sample::internal::sample_server> server_;
  QNetworkAccessManager network_;
  QTimer announce_timer_;
  QTimer stop_timer_;
  std::function<void()> stopped_;
};

}  // namespace jayrill

#endif  // JAYRILL_SAMPLE_SAMPLE_BACKEND_H_
