#ifndef JAYRILL_ENTRY_ENTRY_SETTINGS_H_
#define JAYRILL_ENTRY_ENTRY_SETTINGS_H_

#include <chrono>
#include <compare>
#include <string>
#include <vector>

#include "jayrill/entry/dispatch_settings.h"

namespace jayrill {

/// Settings of one entry. Addresses are IP:port; port 0 lets the system choose.
struct entry_settings {
  std::string id;
  std::string data_centre;
  std::string http_listen = "127.0.0.1:0";
  std::string rpc_listen = "127.0.0.1:0";
  /// Addresses announced to entries and agents; empty: the address listened on.
  std::string http_advertise;
  std::string rpc_advertise;
  /// Endpoints of the platform's key-value service. Empty: a store in the
  /// memory of this process, for standalone use.
  std::vector<std::string> store_endpoints;
  /// Name of the placement strategy.
  std::string strategy = "jayrill";
  /// Cores that the entry may use.
  double processor_cores = 1;
  /// Second HTTP address, for health and metrics only; empty: none.
  std::string health_listen;
  /// Path of the readiness check on health_listen.
  std::string ready_path = "/readyz";
  dispatch_limits limits;
  /// How long a stopping entry still accepts new jobs. It reports not ready
  /// during this time, so that the load balancer moves callers to other
  /// entries.
  std::chrono::milliseconds stop_delay{};
  std::string operator_secret;  ///< Empty: operator requests are refused.
  /// How long a graceful stop waits for the ends of claims to be stored.
  std::chrono::milliseconds claim_stop_limit{3000};

  auto operator<=>(const entry_settings&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_ENTRY_SETTINGS_H_
