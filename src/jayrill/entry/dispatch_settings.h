#ifndef JAYRILL_ENTRY_DISPATCH_SETTINGS_H_
#define JAYRILL_ENTRY_DISPATCH_SETTINGS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

#include "jayrill/base/ids.h"

namespace jayrill {

/// Limits that the dispatcher applies to agents and minions.
struct dispatch_limits {
  /// Silence after which an agent with outstanding starts counts as lost. Zero:
  /// the limit for agents without starts, which depends on the heartbeat
  /// interval.
  std::chrono::milliseconds silence_timeout{};
  /// Number of connected agents that an entry needs to be ready.
  std::uint32_t ready_agents = 0;
  /// Time after which a minion that joins or returns may use all of its slots.
  /// Until then SlowStartLimit applies.
  std::chrono::milliseconds slow_start{5000};
  /// Run time of a task outside its preferred rack relative to that in it; 1:
  /// racks do not matter.
  double remote_factor = 1;

  auto operator<=>(const dispatch_limits&) const = default;
};

/// Settings of the dispatcher side of an entry.
struct dispatch_settings {
  std::string entry_id;
  incarnation entry;
  std::string data_centre;
  std::string listen = "127.0.0.1:0";  ///< IP:port for agents; port 0: any.
  std::string strategy = "jayrill";
  double processor_cores = 1;  ///< Cores that the entry may use.
  dispatch_limits limits;
  std::uint64_t random_seed = 0;  ///< For strategies that draw at random.
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_DISPATCH_SETTINGS_H_
