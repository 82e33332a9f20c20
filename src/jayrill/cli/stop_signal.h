#ifndef JAYRILL_CLI_STOP_SIGNAL_H_
#define JAYRILL_CLI_STOP_SIGNAL_H_

#include <QSocketNotifier>
#include <functional>

namespace jayrill {

/// Turns SIGTERM and SIGINT into a call on the Qt event loop.
///
/// The signals are blocked for the process and read from a signalfd, so it must
/// be made before any other thread. A further signal calls the handler no
/// second time: it must not cut off work.
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
