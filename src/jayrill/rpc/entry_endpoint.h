#ifndef JAYRILL_RPC_ENTRY_ENDPOINT_H_
#define JAYRILL_RPC_ENTRY_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>

namespace jayrill {

/// What an agent needs to know of an entry to decide whether to connect to it.
struct entry_endpoint {
  std::string address;      ///< RPC address, IP:port.
  std::string data_centre;  ///< Empty when it is not known.
  /// Processor share that the entry may use, in thousandths of a core.
  std::uint32_t cpu_millis = 1000;

  auto operator<=>(const entry_endpoint&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_RPC_ENTRY_ENDPOINT_H_
