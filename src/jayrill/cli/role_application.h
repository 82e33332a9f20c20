#ifndef JAYRILL_CLI_ROLE_APPLICATION_H_
#define JAYRILL_CLI_ROLE_APPLICATION_H_

#include <QCoreApplication>
#include <functional>

#include "jayrill/base/error.h"
#include "jayrill/cli/stop_signal.h"

namespace jayrill {

/// The Qt event loop of a role with its signals. Made before the role, so that
/// all of its threads inherit the blocked signals.
class role_application {
 public:
  role_application();

  /// Runs until Finish is called. The first SIGTERM or SIGINT calls
  /// \p begin_stop.
  /// \returns the exit code.
  int Run(std::function<void()> begin_stop);

  /// Ends Run; called when the graceful stop has finished.
  void Finish(int exit_code);

 private:
  // QCoreApplication keeps a reference to the argument count.
  int argc_ = 0;
  QCoreApplication application_;
  std::function<void()> begin_stop_;
  bool stop_requested_ = false;
  stop_signal signal_;
};

/// Prints why a role could not start.
/// \returns the exit code.
int FailToStart(const char* role, const error& failure);

}  // namespace jayrill

#endif  // JAYRILL_CLI_ROLE_APPLICATION_H_
