#include "jayrill/base/endpoint.h"

#include <arpa/inet.h>

#include <charconv>
#include <system_error>

namespace jayrill {

std::optional<endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string ip(text.substr(0, colon));
  const std::string_view port_text = text.substr(colon + 1);
  const char* const end = port_text.data() + port_text.size();
  // Rejects signs and numbers above 65535.
  std::uint16_t port = 0;
  const auto [rest, failure] = std::from_chars(port_text.data(), end, port);
  // inet_pton would read the text only up to a NUL.
  if (failure != std::errc() || rest != end ||
      ip.find('\0') != std::string::npos) {
    return std::nullopt;
  }
  int family = AF_INET;
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
    family = AF_INET6;
  }
  in6_addr parsed{};
  if (inet_pton(family, ip.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  return endpoint{ip, port};
}

std::string ToString(const endpoint& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  return (is_v6 ? "[" + address.ip + "]" : address.ip) + ":" +
         std::to_string(address.port);
}

bool IsWildcard(const endpoint& address) {
  return address.ip == "0.0.0.0" || address.ip == "::";
}

}  // namespace jayrill
