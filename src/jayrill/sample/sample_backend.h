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

/// A minion for tests and demonstrations: each task waits for the `work_ms` of
/// its payload and returns the payload. Runs on the thread that creates it,
/// which needs a Qt event loop.
class sample_backend final {
 public:
  sample_backend(sample_settings settings, const clock& time);
  ~sample_backend();
  sample_backend(const sample_backend&) = delete;
  sample_backend& operator=(const sample_backend&) = delete;

  /// Begins to listen and to announce itself.
  result<void> Start();

  /// Leaves the agent and finishes running tasks; \p stopped is called then.
  void Stop(std::function<void()> stopped);

  /// Tells the agent that this minion leaves, and announces no more.
  void Leave();

  /// Changes what the backend does wrong; also `POST /fault` with its name.
  void SetFault(sample_fault fault);

  std::uint16_t port() const;
  std::uint32_t running() const;
  const execution_record& record() const;

 private:
  void Announce();
  QNetworkReply* Post(const char* path, const QByteArray& body);
  void PollStop();
  void OnLeaveAnswered(QNetworkReply* reply);

  const sample_settings settings_;
  std::unique_ptr<sample::internal::sample_server> server_;
  QNetworkAccessManager access_;
  QTimer announce_timer_;
  QTimer stop_timer_;
  std::function<void()> stopped_;
};

}  // namespace jayrill

#endif  // JAYRILL_SAMPLE_SAMPLE_BACKEND_H_
