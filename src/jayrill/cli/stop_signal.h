#ifndef JAYRILL_CLI_STOP_SIGNAL_H_
#define JAYRILL_CLI_STOP_SIGNAL_H_

#include <QSocketNotifier>
#include <functional>

namespace jayrill {

/// Calls a handler on the Qt event loop when SIGTERM or SIGINT arrives. SIGHUP
/// is only logged.
///
/// The signals are blocked and read from a signalfd. Threads inherit the signal
/// mask, so this object must be constructed before any other thread starts.
/// Only the first signal calls the handler, so that a further one does not cut
/// off work that the graceful stop is waiting for.
class stop_signal {
 public:
  explicit stop_signal(std::function<void()> on_stop);
  ~stop_signal();
  stop_signal(const stop_signal&) = delete;
  stop_signal& operator=(const stop_signal&) = delete;

 private:
  void Read();

  const std::function<void()> on_stop_;
  const int signal_fd_;
  QSocketNotifier notifier_;
  bool stopped_ = false;
};

}  // namespace jayrill

#endif  // JAYRILL_CLI_STOP_SIGNAL_H_
