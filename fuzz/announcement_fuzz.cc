#include "jayrill/agent/announcement.h"

#include "fuzz_target.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using jayrill::fuzz::Require;
  const auto parsed =
      jayrill::ParseAnnouncement(jayrill::fuzz::ToText(data, size));
  if (parsed) {
    Require(!parsed->service.empty(), "the service is not empty");
    Require(parsed->port > 0 && parsed->slots > 0 && parsed->slots <= 1024 &&
                parsed->connections > 0 && parsed->connections <= 65'535,
            "port, slots and connections are in their ranges");
  } else {
    Require(!parsed.error().message.empty(), "an error has a message");
  }
  return 0;
}
