#ifndef JAYRILL_CONFIG_CONFIG_HOLDER_H_
#define JAYRILL_CONFIG_CONFIG_HOLDER_H_

#include <memory>
#include <utility>

#include "jayrill/config/cluster_config.h"

namespace jayrill {

/// Holds the newest configuration that a process has seen from any source.
///
/// It only moves to a higher revision, so a late or repeated message never
/// takes an accepted change back.
class config_holder {
 public:
  using shared = std::shared_ptr<const cluster_config>;

  /// Adopts \p offered when its revision is higher.
  /// \returns true when the configuration changed.
  bool Offer(shared offered) {
    if (!offered || offered->revision <= current_->revision) {
      return false;
    }
    current_ = std::move(offered);
    return true;
  }

  /// \returns the configuration in force; never null.
  const shared& current() const { return current_; }
  config_revision revision() const { return current_->revision; }

 private:
  shared current_ = std::make_shared<const cluster_config>();
};

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_CONFIG_HOLDER_H_
