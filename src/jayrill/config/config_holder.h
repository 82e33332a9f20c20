#ifndef JAYRILL_CONFIG_CONFIG_HOLDER_H_
#define JAYRILL_CONFIG_CONFIG_HOLDER_H_

#include <memory>
#include <utility>

#include "jayrill/config/cluster_config.h"

namespace jayrill {

/// Holds the newest configuration that a process has received from any source.
///
/// Replaces it only by one of a higher revision, so that a late or repeated
/// message cannot revert an accepted change. Not thread-safe; the
/// configurations themselves are immutable and may be shared between threads.
class config_holder {
 public:
  using shared = std::shared_ptr<const cluster_config>;

  /// Replaces the current configuration by \p offered if that is not null and
  /// its revision is higher.
  /// \returns true when the configuration changed.
  bool Offer(shared offered) {
    if (!offered || offered->revision <= current_->revision) {
      return false;
    }
    current_ = std::move(offered);
    return true;
  }

  /// \returns the current configuration; empty and of revision 0 at first,
  /// never null.
  const shared& current() const { return current_; }
  config_revision revision() const { return current_->revision; }

 private:
  shared current_ = std::make_shared<const cluster_config>();
};

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_CONFIG_HOLDER_H_
