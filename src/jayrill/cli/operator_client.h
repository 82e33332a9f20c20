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

/// Who the operator is and which entries may be asked.
struct operator_options {
  std::vector<std::string> entries;
  std::string name;
  std::string secret;
  std::chrono::milliseconds timeout{5'000};
};

/// Sends operator requests to the first entry that listens.
class operator_client {
 public:
  explicit operator_client(operator_options options);

  /// \returns the JSON at \p path, or the error that the entry states.
  result<QJsonObject> Get(const std::string& path) const;

  /// \returns the current configuration revision.
  result<std::int64_t> CurrentRevision() const;

  /// Sends a change with \p reason. It is based on \p base_revision, or on the
  /// current revision, which is read first.
  /// \returns the revision at which it was accepted.
  result<std::int64_t> Change(const QByteArray& method,
                              const std::string& path,
                              QJsonObject body,
                              const std::string& reason,
                              std::optional<std::int64_t> base_revision) const;

 private:
  result<QJsonObject> Call(http_call call) const;

  const operator_options options_;
};

/// \returns the error that a failed answer with \p status states.
error ReadError(int status, const QJsonObject& answer);

}  // namespace jayrill

#endif  // JAYRILL_CLI_OPERATOR_CLIENT_H_
