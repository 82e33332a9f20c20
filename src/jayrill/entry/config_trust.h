#ifndef JAYRILL_ENTRY_CONFIG_TRUST_H_
#define JAYRILL_ENTRY_CONFIG_TRUST_H_

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "jayrill/base/clock.h"
#include "jayrill/config/cluster_config.h"

namespace jayrill {

/// Time without any contact after which an entry is isolated.
inline constexpr std::chrono::milliseconds kIsolatedAfter{3000};

/// Decides whether an entry may be the only one that does not know the newest
/// configuration.
class config_trust {
 public:
  config_trust(std::string data_centre, steady_time now)
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

  /// \returns true when the store is out of reach, and other data centres that
  /// are in service are, too. A whole data centre that is cut off might miss
  /// the change that takes it out.
  bool IsIsolated(const cluster_config& config, steady_time now) const {
    return now - last_store_contact_ > kIsolatedAfter &&
           now - last_remote_contact_ > kIsolatedAfter &&
           ListsOtherInService(config);
  }

 private:
  bool ListsOtherInService(const cluster_config& config) const {
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

#endif  // JAYRILL_ENTRY_CONFIG_TRUST_H_
