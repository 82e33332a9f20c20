#ifndef JAYRILL_CONFIG_CONFIG_SOURCE_H_
#define JAYRILL_CONFIG_CONFIG_SOURCE_H_

#include <functional>

#include "jayrill/base/clock.h"
#include "jayrill/config/config_holder.h"
#include "jayrill/config/out_list.h"

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
    /// Called whenever a read of the store has shown which data centres are out
    /// of service, where these can be read ahead of the whole configuration.
    /// The store held the list at the time that is passed, or later. May be
    /// empty.
    std::function<void(const out_list&, steady_time)> on_out_list = {};
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
