#ifndef JAYRILL_STORE_INTERNAL_ETCD_CLIENT_H_
#define JAYRILL_STORE_INTERNAL_ETCD_CLIENT_H_

#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QString>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "jayrill/base/error.h"

namespace jayrill::store_internal {

/// Whether a call that fails may have had an effect.
enum class call_kind { kRead, kWrite };

/// Answer of the store, and how often the request was sent: Qt resends a
/// request by itself when a persistent connection turns out to be closed.
struct etcd_answer {
  QJsonObject json;
  int times_sent = 0;
};

/// Sends JSON calls to the endpoints of the store.
///
/// A call that failed and certainly had no effect is tried at the next
/// endpoint, at most once at each. Later calls start at the endpoint that last
/// answered. Must be used on the Qt thread that creates it only.
class etcd_client {
 public:
  using done_function = std::function<void(result<etcd_answer>)>;

  etcd_client(const std::vector<std::string>& endpoints,
              std::chrono::milliseconds timeout);

  /// Sends \p body to \p path. A network failure is reported as kUnavailable
  /// when the call had no effect, and as kUnknownOutcome when it may have had
  /// one.
  void Post(const QString& path,
            const QJsonObject& body,
            call_kind kind,
            const done_function& done);

  /// Sends a request whose answer is an endless stream; the caller owns the
  /// reply.
  QNetworkReply* OpenStream(const QString& path, const QJsonObject& body);

  /// Makes later calls start at the next endpoint.
  void UseNextEndpoint() {
    current_endpoint_ = (current_endpoint_ + 1) % endpoints_.size();
  }

 private:
  void Try(const QString& path,
           const QJsonObject& body,
           call_kind kind,
           std::size_t tries_left,
           const done_function& done);
  QNetworkRequest Request(const QString& path) const;

  std::vector<QString> endpoints_;
  std::chrono::milliseconds timeout_;
  std::size_t current_endpoint_ = 0;
  QNetworkAccessManager calls_;
  /// Separate from calls_, because a stream occupies its connection and Qt
  /// opens at most six to one host per manager.
  QNetworkAccessManager streams_;
};

}  // namespace jayrill::store_internal

#endif  // JAYRILL_STORE_INTERNAL_ETCD_CLIENT_H_
