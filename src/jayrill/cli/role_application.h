#ifndef JAYRILL_CLI_ROLE_APPLICATION_H_
#define JAYRILL_CLI_ROLE_APPLICATION_H_

#include <QCoreApplication>
#include <functional>

#include "jayrill/base/error.h"
#include "jayrill/cli/stop_signal.h"

namespace jayrill {

/// Runs the Qt event loop of a role and starts its graceful stop on SIGTERM or
/// SIGINT. It must be constructed before the role, so that all threads of the
/// role inherit the signal mask.
class role_application {
 public:
  role_application();

  /// Runs the event loop until Finish is called. The first SIGTERM or SIGINT
  /// calls \p begin_stop, also when it arrived before this call.
  /// \returns the exit code.
  int Run(std::function<void()> begin_stop);

  /// Makes Run return \p exit_code. To be called when the graceful stop is
  /// complete; also allowed before Run.
  void Finish(int exit_code);

 private:
  // QCoreApplication keeps a reference to the argument count.
  int argc_ = 0;
  QCoreApplication application_;
  std::function<void()> begin_stop_;
  bool stop_requested_ = false;
  stop_signal signal_;
};

/// Prints to stderr why \p role could not start.
/// \returns the exit code.
int ReportStartFailure(const char* role, const error& failure);

}  // namespace jayrill

#endif  // JAYRILL_CLI_ROLE_APPLICATION_H_
