#include "jayrill/cli/endpoint.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

#include <limits>

namespace jayrill {

std::optional<endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string ip(text.substr(0, colon));
  const std::string port_text(text.substr(colon + 1));
  std::uint32_t port = 0;
  if (port_text.empty() ||
      port_text.find_first_not_of("0123456789") != std::string::npos ||
      !absl::SimpleAtoi(port_text, &port) ||
      port > std::numeric_limits<std::uint16_t>::max()) {
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
  return endpoint{ip, static_cast<std::uint16_t>(port)};
}

std::string ToString(const endpoint& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  return is_v6 ? absl::StrCat("[", address.ip, "]:", address.port)
               : absl::StrCat(address.ip, ":", address.port);
}

bool IsWildcard(const endpoint& address) {
  return address.ip == "0.0.0.0" || address.ip == "::";
}

}  // namespace jayrill
