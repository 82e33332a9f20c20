#ifndef JAYRILL_CLI_OPERATOR_CLIENT_H_
#define JAYRILL_CLI_OPERATOR_CLIENT_H_

#include <QJsonObject>
#include <QString>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/base/error.h"
#include "jayrill/cli/http_call.h"

namespace jayrill {

/// The identity of the operator and the entries to send requests to.
struct operator_options {
  std::vector<std::string> entries;
  std::string name;
  std::string secret;
  std::chrono::milliseconds timeout{5'000};
};

/// Sends operator requests to the first entry that accepts the connection. Each
/// call blocks and runs a Qt event loop, so a QCoreApplication must exist.
class operator_client {
 public:
  explicit operator_client(operator_options options);

  /// \returns the JSON object at \p path, or the error that the entry reports.
  result<QJsonObject> Get(const std::string& path) const;

  /// \returns the current configuration revision.
  result<std::int64_t> CurrentRevision() const;

  /// Sends a change with \p reason for the audit trail. The entry rejects it as
  /// a conflict when the item has changed since \p base_revision. If that is
  /// absent, the current revision is read first and used.
  /// \returns the revision of the accepted change.
  result<std::int64_t> Change(const QByteArray& method,
                              const std::string& path,
                              QJsonObject body,
                              const std::string& reason,
                              std::optional<std::int64_t> base_revision) const;

 private:
  result<QJsonObject> Call(http_call call) const;

  const operator_options options_;
};

/// \returns the error that \p answer, the body of an answer with \p status,
/// describes. Further fields of the body are appended to the message.
error ReadError(int status, const QJsonObject& answer);

}  // namespace jayrill

#endif  // JAYRILL_CLI_OPERATOR_CLIENT_H_
