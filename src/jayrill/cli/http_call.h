#ifndef JAYRILL_CLI_HTTP_CALL_H_
#define JAYRILL_CLI_HTTP_CALL_H_

#include <QByteArray>
#include <QJsonObject>
#include <QString>
#include <chrono>
#include <map>
#include <string>

#include "jayrill/base/error.h"

namespace jayrill {

/// A request of a client command.
struct http_call {
  QByteArray method = "GET";
  std::string path;
  std::map<QByteArray, QByteArray> headers;
  QByteArray body;
  std::chrono::milliseconds timeout{5'000};
};

/// An answer as it came, whatever its status.
struct http_answer {
  int status = 0;
  QByteArray body;

  /// \returns the body as a JSON object; empty when it is none.
  QJsonObject Json() const;
};

/// Sends \p call to \p address and handles events until it is answered. A
/// refused connection is an error kUnavailable; any other failure may have had
/// an effect and is an error kUnknownOutcome.
result<http_answer> Send(const std::string& address, const http_call& call);

}  // namespace jayrill

#endif  // JAYRILL_CLI_HTTP_CALL_H_
