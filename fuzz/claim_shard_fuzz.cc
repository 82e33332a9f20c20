#include "jayrill/claim/claim_shard.h"

#include "fuzz_target.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text = jayrill::fuzz::ToText(data, size);
  jayrill::ParseRequestKey(text);
  if (auto shard = jayrill::DecodeShard(text)) {
    const auto decoded_again =
        jayrill::DecodeShard(jayrill::EncodeShard(*shard));
    jayrill::fuzz::Require(
        decoded_again && *decoded_again == *shard,
        "a claim shard is unchanged after encoding and decoding");
    jayrill::RemoveExpired(*shard, jayrill::wall_time());
  }
  return 0;
}
