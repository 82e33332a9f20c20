#include "jayrill/cli/stop_signal.h"

#include <glog/logging.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace jayrill {
namespace {

int OpenSignalFd() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  PCHECK(pthread_sigmask(SIG_BLOCK, &signals, nullptr) == 0);
  const int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  PCHECK(descriptor >= 0) << "signals: cannot create a signalfd";
  return descriptor;
}

}  // namespace

stop_signal::stop_signal(std::function<void()> on_stop)
    : on_stop_(std::move(on_stop)),
      signal_fd_(OpenSignalFd()),
      notifier_(signal_fd_, QSocketNotifier::Read) {
  QObject::connect(&notifier_, &QSocketNotifier::activated, &notifier_,
                   [this] { Read(); });
}

stop_signal::~stop_signal() {
  notifier_.setEnabled(false);
  close(signal_fd_);
}

void stop_signal::Read() {
  signalfd_siginfo info{};
  while (read(signal_fd_, &info, sizeof(info)) ==
         static_cast<ssize_t>(sizeof(info))) {
    if (info.ssi_signo == SIGHUP) {
      LOG(INFO) << "signals: SIGHUP ignored; settings come from flags and the "
                   "environment and change with a restart only";
      continue;
    }
    if (stopped_) {
      LOG(INFO) << "signals: already stopping; the process ends when the work "
                   "in flight is done";
      continue;
    }
    stopped_ = true;
    LOG(INFO) << "signals: stopping after signal " << info.ssi_signo;
    on_stop_();
  }
}

}  // namespace jayrill
