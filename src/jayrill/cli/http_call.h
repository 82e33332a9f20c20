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

/// An HTTP request of a client command.
struct http_call {
  QByteArray method = "GET";
  std::string path;
  std::map<QByteArray, QByteArray> headers;
  QByteArray body;
  std::chrono::milliseconds timeout{5'000};
};

/// An HTTP answer. Its status may be that of an error.
struct http_answer {
  int status = 0;
  QByteArray body;

  /// \returns the body as a JSON object; empty when the body is not one.
  QJsonObject Json() const;
};

/// Sends \p call to \p address and runs a Qt event loop until the answer
/// arrives or the request fails. A refused connection is the error
/// kUnavailable. After any other failure the request may have taken effect, so
/// it is the error kUnknownOutcome. A request with a body is sent once.
result<http_answer> Send(const std::string& address, const http_call& call);

}  // namespace jayrill

#endif  // JAYRILL_CLI_HTTP_CALL_H_
