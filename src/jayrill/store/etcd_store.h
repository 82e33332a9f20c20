#ifndef JAYRILL_STORE_ETCD_STORE_H_
#define JAYRILL_STORE_ETCD_STORE_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "jayrill/store/scheduler.h"
#include "jayrill/store/store.h"

namespace jayrill {

namespace store_internal {
class etcd_client;
}

/// Client of a key-value store that speaks the JSON form of the etcd v3
/// protocol.
///
/// Must be used on the Qt thread that creates it only. Watches must be
/// destroyed before it, and it must not be destroyed inside one of its
/// callbacks. Each watch costs the store one open stream and 1.25 short reads
/// per second, which confirm that the watch is up to date (0.25 without
/// on_confirmed).
class etcd_store final : public store {
 public:
  struct options {
    std::vector<std::string> endpoints;       ///< As IP:port; at least one.
    std::chrono::milliseconds timeout{2000};  ///< Of a call to one endpoint.
  };

  etcd_store(scheduler& timers, const options& settings);
  ~etcd_store() override;

  void Get(std::string key, callback<std::optional<store_entry>> done) override;
  void List(std::string prefix,
            callback<std::vector<store_entry>> done) override;
  void CompareAndSwap(std::string key,
                      store_revision expected,
                      std::optional<std::string> value,
                      std::optional<lease_id> lease,
                      callback<swap_result> done) override;
  void GrantLease(std::chrono::seconds ttl, callback<lease_id> done) override;
  void KeepAlive(lease_id lease, callback<std::chrono::seconds> done) override;
  std::unique_ptr<watch_handle> Watch(std::string prefix,
                                      watch_listener listener) override;

 private:
  scheduler& timers_;
  std::shared_ptr<store_internal::etcd_client> client_;
};

}  // namespace jayrill

#endif  // JAYRILL_STORE_ETCD_STORE_H_
