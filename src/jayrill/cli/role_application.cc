#include "jayrill/cli/role_application.h"

#include <glog/logging.h>

#include <iostream>
#include <utility>

#include "jayrill/cli/command.h"

namespace jayrill {

role_application::role_application()
    : application_(argc_, nullptr), signal_([this] {
        stop_requested_ = true;
        if (begin_stop_) {
          begin_stop_();
        }
      }) {
  // Without a path Qt loads no plugins. No role uses TLS, whose plugin and
  // libcrypto take 4 MB of the 32 MB of a node.
  QCoreApplication::setLibraryPaths({});
}

int role_application::Run(std::function<void()> begin_stop) {
  begin_stop_ = std::move(begin_stop);
  // A signal that came while the role started is not lost.
  if (stop_requested_) {
    begin_stop_();
  }
  return QCoreApplication::exec();
}

void role_application::Finish(int exit_code) {
  // Queued, because the role may finish before the event loop has started.
  QMetaObject::invokeMethod(
      &application_, [exit_code] { QCoreApplication::exit(exit_code); },
      Qt::QueuedConnection);
}

int FailToStart(const char* role, const error& failure) {
  std::cerr << "jayrill: the " << role << " did not start: " << failure.message
            << "\n  remedy: " << failure.remedy << "\n";
  return kExitFailed;
}

}  // namespace jayrill
