#ifndef JAYRILL_LOAD_REQUEST_POOL_H_
#define JAYRILL_LOAD_REQUEST_POOL_H_

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace jayrill {

/// Sends requests to several targets without queueing inside Qt.
///
/// QNetworkAccessManager opens six connections to a host and port and queues
/// further requests out of sight, so the pool counts the requests of each
/// manager and adds managers as needed.
class request_pool {
 public:
  using done_callback = std::function<void(QNetworkReply&)>;

  static constexpr std::size_t kConnectionsPerManager = 6;

  /// \param connections most requests in flight to each target.
  request_pool(std::size_t targets, std::size_t connections);

  /// Posts \p body, unless all connections to \p target are in use. \p done is
  /// called when the reply has finished.
  /// \returns false when nothing was sent.
  bool Post(std::size_t target,
            const QNetworkRequest& request,
            const QByteArray& body,
            done_callback done);

 private:
  struct manager {
    std::unique_ptr<QNetworkAccessManager> network;
    std::vector<std::size_t> in_flight;  ///< By target.
  };

  /// \returns a manager with a free connection to \p target, or null.
  manager* FindManager(std::size_t target);

  const std::size_t targets_;
  const std::size_t connections_;
  std::vector<std::size_t> in_flight_;  ///< By target.
  std::vector<std::unique_ptr<manager>> managers_;
};

}  // namespace jayrill

#endif  // JAYRILL_LOAD_REQUEST_POOL_H_
