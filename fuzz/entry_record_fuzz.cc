#include <cstdint>
#include <string_view>

#include "fuzz_target.h"
#include "jayrill/base/endpoint.h"
#include "jayrill/membership/entry_record.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using jayrill::fuzz::Require;
  const auto record = jayrill::DecodeEntryRecord(
      std::string_view(reinterpret_cast<const char*>(data), size));
  if (record) {
    const auto address = jayrill::ParseEndpoint(record->rpc_address);
    Require(!record->id.empty() && address && address->port != 0,
            "a record names an entry and an address that can be dialled");
    Require(jayrill::DecodeEntryRecord(jayrill::EncodeEntryRecord(*record)) ==
                record,
            "a record that was decoded can be encoded");
  }
  return 0;
}
