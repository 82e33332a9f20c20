#ifndef JAYRILL_ENTRY_LISTEN_ADDRESS_H_
#define JAYRILL_ENTRY_LISTEN_ADDRESS_H_

#include <charconv>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "jayrill/base/error.h"

namespace jayrill {

/// An address to listen on.
struct listen_address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const listen_address&) const = default;
};

/// \returns the address in \p text, `a.b.c.d:port` or `[v6]:port`.
inline result<listen_address> ParseListenAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  std::string_view ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  listen_address address{std::string(ip)};
  const char* const end = text.data() + text.size();
  if (colon != std::string_view::npos && !ip.empty()) {
    const auto [rest, failure] =
        std::from_chars(text.data() + colon + 1, end, address.port);
    if (failure == std::errc() && rest == end) {
      return address;
    }
  }
  return MakeError(error_kind::kInvalidArgument,
                   "\"" + std::string(text) + "\" is not an address",
                   "give IP:port");
}

/// \returns \p text with \p port in place of its port.
inline std::string WithPort(std::string_view text, std::uint16_t port) {
  return std::string(text.substr(0, text.rfind(':') + 1)) +
         std::to_string(port);
}

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_LISTEN_ADDRESS_H_
