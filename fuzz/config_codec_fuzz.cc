#include "jayrill/config/config_codec.h"

#include "fuzz_target.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text = jayrill::fuzz::ToText(data, size);
  jayrill::DecodeProfile(text);
  jayrill::DecodeAudit(text);
  if (const auto config = jayrill::DecodeConfig(text)) {
    const std::string json =
        jayrill::EncodeConfig(*config, jayrill::audit_trail::kIncluded);
    const auto decoded_again = jayrill::DecodeConfig(json);
    jayrill::fuzz::Require(
        decoded_again && *decoded_again == *config,
        "a configuration is unchanged after encoding and decoding");
  }
  return 0;
}
