#ifndef JAYRILL_BASE_ENDPOINT_H_
#define JAYRILL_BASE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jayrill {

/// An IP address with a port. Host names are not accepted, because processes
/// identify each other by address.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

/// \returns the endpoint that \p text holds as `a.b.c.d:port` or `[v6]:port`,
/// or nothing when it is malformed.
std::optional<endpoint> ParseEndpoint(std::string_view text);

/// \returns \p address as `a.b.c.d:port` or `[v6]:port`.
std::string ToString(const endpoint& address);

/// \returns true for 0.0.0.0 and ::, to which no other process can connect.
bool IsWildcard(const endpoint& address);

}  // namespace jayrill

#endif  // JAYRILL_BASE_ENDPOINT_H_
