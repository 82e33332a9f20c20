#ifndef JAYRILL_CLI_OPERATOR_SESSION_H_
#define JAYRILL_CLI_OPERATOR_SESSION_H_

#include <QCoreApplication>
#include <QJsonObject>
#include <string>

#include "jayrill/cli/operator_client.h"

namespace jayrill {

/// One run of an operator command: the client that the flags describe, and the
/// ways in which commands print what they got.
class operator_session {
 public:
  operator_session();

  const operator_client& client() const { return client_; }

  /// Makes a change and prints where it is in force.
  /// \returns the exit code.
  int Change(const QByteArray& method,
             const std::string& path,
             const QJsonObject& body) const;

  /// Prints \p failure to stderr.
  /// \returns the exit code of a failure.
  static int Fail(const error& failure);

  /// Prints how a command is used to stderr.
  /// \returns the exit code of faulty usage.
  static int FailUsage(const std::string& message);

 private:
  QJsonObject AwaitForce(std::int64_t revision) const;

  // Network access needs the application object.
  int argc_ = 0;
  QCoreApplication application_;
  operator_client client_;
};

/// Prints \p object as indented JSON.
void PrintJson(const QJsonObject& object);

/// \returns \p value as text for a table cell.
std::string CellText(const QJsonValue& value);

}  // namespace jayrill

#endif  // JAYRILL_CLI_OPERATOR_SESSION_H_
