#ifndef JAYRILL_CLI_OPERATOR_SESSION_H_
#define JAYRILL_CLI_OPERATOR_SESSION_H_

#include <QCoreApplication>
#include <QJsonObject>
#include <string>

#include "jayrill/cli/operator_client.h"

namespace jayrill {

/// The environment of one operator command: the Qt application, the client that
/// the Abseil flags describe, and the output of results and errors.
class operator_session {
 public:
  operator_session();

  const operator_client& client() const { return client_; }

  /// Sends a change, waits up to --wait_ms until it is in force at all
  /// connected processes, and prints at which processes it is.
  /// \returns the exit code.
  int Change(const QByteArray& method,
             const std::string& path,
             const QJsonObject& body) const;

  /// Prints \p failure to stderr.
  /// \returns kExitFailed.
  static int PrintError(const error& failure);

  /// Prints \p message about wrong usage of a command to stderr.
  /// \returns kExitUsage.
  static int PrintUsageError(const std::string& message);

 private:
  /// Waits until no connected process has an older revision than \p revision,
  /// at most --wait_ms.
  /// \returns the last answer of /v1/status; empty if that request failed.
  QJsonObject AwaitRollout(std::int64_t revision) const;

  // Network access requires an application object, which keeps a reference to
  // the argument count.
  int argc_ = 0;
  QCoreApplication application_;
  operator_client client_;
};

/// Prints \p object to stdout as indented JSON.
void PrintJson(const QJsonObject& object);

/// \returns \p value as the text of a table cell: the items of an array
/// separated by commas, a boolean as yes or no.
std::string CellText(const QJsonValue& value);

}  // namespace jayrill

#endif  // JAYRILL_CLI_OPERATOR_SESSION_H_
