#include "jayrill/entry/http/http_exchange.h"

#include <utility>

namespace jayrill {

std::string_view ToString(caller_state state) {
  switch (state) {
    case caller_state::kConnected:
      return "connected";
    case caller_state::kClosed:
      return "closed";
    case caller_state::kReset:
      return "reset";
    case caller_state::kLeft:
      return "left";
  }
  return "unknown";
}

std::string_view http_request::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string_view() : found->second;
}

void http_exchange::Reply(const http_response& response) {
  on_disconnected_ = nullptr;
  if (const writer write = std::exchange(write_, nullptr)) {
    write(response);
  }
}

void http_exchange::MarkDisconnected() {
  write_ = nullptr;
  if (const auto listener = std::exchange(on_disconnected_, nullptr)) {
    listener();
  }
}

}  // namespace jayrill
