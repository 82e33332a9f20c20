#ifndef JAYRILL_CONFIG_CONFIG_SOURCE_H_
#define JAYRILL_CONFIG_CONFIG_SOURCE_H_

#include <functional>
#include <set>
#include <string>

#include "jayrill/config/config_holder.h"

namespace jayrill {

/// Provides an entry with the newest configuration and reports each new one.
///
/// Implementations: config_store (the configuration as jayrill writes it) and
/// translated_config_source (a configuration in another form, which is only
/// read).
class config_source {
 public:
  using shared = config_holder::shared;

  struct listener {
    /// Called when a configuration of a higher revision comes into force at
    /// this process.
    std::function<void(shared)> on_config;
    /// Called whenever a read of the store has shown that the configuration in
    /// force is still the newest one.
    std::function<void()> on_confirmed;
    /// Called when the data centres that operators have taken out have changed,
    /// where these can be read ahead of the whole configuration. May be empty.
    std::function<void(const std::set<std::string>&)> on_out_changed = {};
  };

  virtual ~config_source() = default;

  /// Adopts \p config, which was received over an RPC session, if its revision
  /// is higher than the current one.
  virtual void Offer(shared config) = 0;

  /// \returns the configuration in force; never null.
  virtual const shared& current() const = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_CONFIG_SOURCE_H_
