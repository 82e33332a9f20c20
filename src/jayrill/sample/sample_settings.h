#ifndef JAYRILL_SAMPLE_SAMPLE_SETTINGS_H_
#define JAYRILL_SAMPLE_SAMPLE_SETTINGS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

#include "jayrill/sample/sample_fault.h"

namespace jayrill {

/// Settings of one sample backend.
struct sample_settings {
  std::string service = "sample";
  /// IP:port; with port 0 the system chooses a free port.
  std::string http_address = "127.0.0.1:0";
  /// IP:port of the announce API of the agent; empty: no announcements.
  std::string agent_address;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::uint32_t cores = 16;
  std::uint32_t memory_mb = 65'536;
  std::uint32_t accelerators = 0;
  double slowness = 1;  ///< Factor on the run time of every task.
  sample_fault fault = sample_fault::kNone;
  bool record = true;  ///< Off for long load runs, as the record grows.
  std::chrono::milliseconds announce_interval{1000};

  auto operator<=>(const sample_settings&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_SAMPLE_SAMPLE_SETTINGS_H_
