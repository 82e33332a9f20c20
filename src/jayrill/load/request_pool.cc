#include "jayrill/load/request_pool.h"

#include <QNetworkProxy>
#include <QObject>
#include <cassert>
#include <utility>

#include "jayrill/base/upload_device.h"

namespace jayrill {

request_pool::request_pool(std::size_t target_count,
                           std::size_t max_connections)
    : target_count_(target_count),
      max_connections_(max_connections),
      in_flight_(target_count, 0) {}

bool request_pool::Post(std::size_t target,
                        const QNetworkRequest& request,
                        const QByteArray& body,
                        done_callback done) {
  assert(target < target_count_ && "the target index must be in range");
  manager* const chosen = FindManager(target);
  if (chosen == nullptr) {
    return false;
  }
  ++chosen->in_flight[target];
  ++in_flight_[target];
  // The reply owns the body.
  auto content = std::make_unique<upload_device>(body);
  QNetworkRequest sized_request = request;
  sized_request.setHeader(QNetworkRequest::ContentLengthHeader, body.size());
  QNetworkReply* const reply =
      chosen->network->post(sized_request, content.get());
  content.release()->setParent(reply);
  QObject::connect(reply, &QNetworkReply::finished, reply,
                   [this, chosen, target, reply, done = std::move(done)] {
                     --chosen->in_flight[target];
                     --in_flight_[target];
                     reply->deleteLater();
                     done(*reply);
                   });
  return true;
}

request_pool::manager* request_pool::FindManager(std::size_t target) {
  if (in_flight_[target] >= max_connections_) {
    return nullptr;
  }
  for (const std::unique_ptr<manager>& candidate : managers_) {
    if (candidate->in_flight[target] < kConnectionsPerManager) {
      return candidate.get();
    }
  }
  auto added = std::make_unique<manager>();
  added->network = std::make_unique<QNetworkAccessManager>();
  added->network->setProxy(QNetworkProxy::NoProxy);
  added->network->setTransferTimeout(0);
  added->in_flight.assign(target_count_, 0);
  managers_.push_back(std::move(added));
  return managers_.back().get();
}

}  // namespace jayrill
