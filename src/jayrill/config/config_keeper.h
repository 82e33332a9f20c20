#ifndef JAYRILL_CONFIG_CONFIG_KEEPER_H_
#define JAYRILL_CONFIG_CONFIG_KEEPER_H_

#include <functional>

#include "jayrill/config/config_holder.h"

namespace jayrill {

/// Keeps the newest configuration at an entry.
class config_keeper {
 public:
  using shared = config_holder::shared;

  struct listener {
    /// A configuration of a higher revision is in force at this process.
    std::function<void(shared)> on_config;
    /// The configuration in force is the newest one of the store as of now.
    std::function<void()> on_confirmed;
  };

  virtual ~config_keeper() = default;

  /// Offers a configuration that came through a session.
  virtual void Offer(shared config) = 0;

  /// \returns the configuration in force; never null.
  virtual const shared& current() const = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_CONFIG_KEEPER_H_
