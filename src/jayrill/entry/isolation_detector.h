#ifndef JAYRILL_ENTRY_ISOLATION_DETECTOR_H_
#define JAYRILL_ENTRY_ISOLATION_DETECTOR_H_

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "jayrill/base/clock.h"
#include "jayrill/config/cluster_config.h"

namespace jayrill {

/// Time without contact to the store and to other data centres after which an
/// entry is isolated.
inline constexpr std::chrono::milliseconds kIsolatedAfter{3000};

/// Detects that an entry is cut off, so that it may have missed the newest
/// configuration.
///
/// Used on the dispatcher thread only.
class isolation_detector {
 public:
  isolation_detector(std::string data_centre, steady_time now)
      : data_centre_(std::move(data_centre)),
        last_store_contact_(now),
        last_remote_contact_(now) {}

  /// The store has confirmed the configuration.
  void OnStoreContact(steady_time now) { last_store_contact_ = now; }

  /// An agent in \p data_centre was heard from.
  void OnAgentContact(std::string_view data_centre, steady_time now) {
    if (data_centre != data_centre_) {
      last_remote_contact_ = now;
    }
  }

  /// \returns true when neither the store nor an agent of another data centre
  /// was heard from for kIsolatedAfter, although another data centre is in
  /// service. The entry may then have missed the change that takes its own data
  /// centre out of service.
  bool IsIsolated(const cluster_config& config, steady_time now) const {
    return now - last_store_contact_ > kIsolatedAfter &&
           now - last_remote_contact_ > kIsolatedAfter &&
           HasOtherDataCentreInService(config);
  }

 private:
  bool HasOtherDataCentreInService(const cluster_config& config) const {
    for (const auto& [name, state] : config.data_centres) {
      if (name != data_centre_ && !state.out) {
        return true;
      }
    }
    return false;
  }

  std::string data_centre_;
  steady_time last_store_contact_;
  steady_time last_remote_contact_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_ISOLATION_DETECTOR_H_
