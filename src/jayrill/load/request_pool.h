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
/// QNetworkAccessManager opens at most six connections to a host and port and
/// queues further requests internally, where the caller cannot see them. The
/// pool counts the requests of each manager and adds managers as needed. It
/// must be used on one thread with a Qt event loop, and must outlive its
/// requests.
class request_pool {
 public:
  using done_callback = std::function<void(QNetworkReply&)>;

  /// Limit of Qt for one host and port.
  static constexpr std::size_t kConnectionsPerManager = 6;

  /// \param target_count number of targets; requests name them by index.
  /// \param max_connections limit of requests in flight to each target.
  request_pool(std::size_t target_count, std::size_t max_connections);

  /// Posts \p body once, unless all connections to \p target are in use. The
  /// body must not be empty. \p done is called when the reply has finished.
  /// \returns false when nothing was sent.
  bool Post(std::size_t target,
            const QNetworkRequest& request,
            const QByteArray& body,
            done_callback done);

 private:
  struct manager {
    std::unique_ptr<QNetworkAccessManager> network;
    std::vector<std::size_t> in_flight;  ///< Requests; index: target.
  };

  /// \returns a manager with a free connection to \p target, created if needed,
  /// or null at the limit of requests to \p target.
  manager* FindManager(std::size_t target);

  const std::size_t target_count_;
  const std::size_t max_connections_;
  std::vector<std::size_t> in_flight_;  ///< Requests; index: target.
  std::vector<std::unique_ptr<manager>> managers_;
};

}  // namespace jayrill

#endif  // JAYRILL_LOAD_REQUEST_POOL_H_
