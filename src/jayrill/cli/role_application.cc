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
  // An empty path keeps Qt from loading plugins. No role uses TLS, and its
  // plugin and libcrypto would take 4 MB of the 32 MB that a node may use.
  QCoreApplication::setLibraryPaths({});
}

int role_application::Run(std::function<void()> begin_stop) {
  begin_stop_ = std::move(begin_stop);
  // A signal may have arrived while the role started.
  if (stop_requested_) {
    begin_stop_();
  }
  return QCoreApplication::exec();
}

void role_application::Finish(int exit_code) {
  // The call is queued because exit() has no effect before the event loop runs,
  // and the role may finish earlier.
  QMetaObject::invokeMethod(
      &application_, [exit_code] { QCoreApplication::exit(exit_code); },
      Qt::QueuedConnection);
}

int ReportStartFailure(const char* role, const error& failure) {
  std::cerr << "jayrill: the " << role << " did not start: " << failure.message
            << "\n  remedy: " << failure.remedy << "\n";
  return kExitFailed;
}

}  // namespace jayrill
