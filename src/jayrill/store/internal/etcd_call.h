#ifndef JAYRILL_STORE_INTERNAL_ETCD_CALL_H_
#define JAYRILL_STORE_INTERNAL_ETCD_CALL_H_

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

/// Answer of the store and how often the request was sent: Qt repeats a
/// request by itself when a kept connection turns out to be closed.
struct etcd_answer {
  QJsonObject json;
  int times_sent = 0;
};

/// Sends JSON calls to the endpoints of the store.
///
/// A call goes on to the next endpoint while it certainly had no effect, at
/// most once around. Later calls start at the endpoint that answered last.
class etcd_client {
 public:
  using done_function = std::function<void(result<etcd_answer>)>;

  etcd_client(const std::vector<std::string>& endpoints,
              std::chrono::milliseconds timeout);

  void Post(const QString& path,
            const QJsonObject& body,
            call_kind kind,
            const done_function& done);

  /// Opens a call whose answer has no end; the caller owns the reply.
  QNetworkReply* OpenStream(const QString& path, const QJsonObject& body);

  /// Makes later calls start at the next endpoint.
  void UseNextEndpoint() { current_ = (current_ + 1) % endpoints_.size(); }

 private:
  void Try(const QString& path,
           const QJsonObject& body,
           call_kind kind,
           std::size_t tries_left,
           const done_function& done);
  QNetworkRequest Request(const QString& path) const;

  std::vector<QString> endpoints_;
  std::chrono::milliseconds timeout_;
  std::size_t current_ = 0;
  QNetworkAccessManager calls_;
  /// Streams hold their connection, and a manager opens at most six.
  QNetworkAccessManager streams_;
};

}  // namespace jayrill::store_internal

#endif  // JAYRILL_STORE_INTERNAL_ETCD_CALL_H_
