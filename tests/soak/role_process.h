#ifndef TESTS_SOAK_ROLE_PROCESS_H_
#define TESTS_SOAK_ROLE_PROCESS_H_

#include <QProcess>
#include <QString>
#include <map>

namespace jayrill::soak {

/// What starts a process of the product.
struct role_command {
  QString program;
  QString role;
  std::map<QString, QString> settings;  ///< Environment variables.
  QString log_path;                     ///< Appended to by each start.

  auto operator<=>(const role_command&) const = default;
};

/// A process of the product that can be stopped, killed and started again. It
/// ends with this object, and with the program that has started it.
class role_process {
 public:
  explicit role_process(role_command command);
  ~role_process();
  role_process(const role_process&) = delete;
  role_process& operator=(const role_process&) = delete;

  /// Starts the process unless it runs.
  void Start();
  void Kill();
  /// Asks the process to end (SIGTERM).
  void Terminate();
  /// Stops the process until each Freeze() is followed by a Thaw(). A process
  /// that was started since runs.
  void Freeze();
  void Thaw();

  bool IsAlive() const { return process_.state() != QProcess::NotRunning; }

  /// \returns how often the process has ended although nobody asked it to.
  int unexpected_ends() const { return unexpected_ends_; }

 private:
  void Send(int signal);
  void OnEnd();

  role_command command_;
  QProcess process_;
  int freezes_ = 0;
  bool asked_to_end_ = false;
  int unexpected_ends_ = 0;
};

}  // namespace jayrill::soak

#endif  // TESTS_SOAK_ROLE_PROCESS_H_
