#include "jayrill/entry/http_framer.h"

#include <algorithm>

#include "fuzz_target.h"

namespace {

using jayrill::http_framer;

// Small, so that inputs reach the limits.
constexpr std::size_t kMaxHeader = 512;
constexpr std::size_t kMaxBody = 256;

struct frame {
  int refused = 0;  // Status, or 0.
  std::size_t size = 0;
  bool keep_alive = false;
};

/// Feeds \p text in steps of \p step bytes, as a slow sender does.
frame Read(std::string_view text, std::size_t step) {
  http_framer framer(kMaxHeader, kMaxBody);
  for (std::size_t end = 0; end < text.size();) {
    end = std::min(end + step, text.size());
    if (const auto refusal = framer.Examine(text.substr(0, end))) {
      jayrill::fuzz::Require(!jayrill::EncodeRefusal(*refusal).empty(),
                             "a refusal has a response");
      return {refusal->status, 0, false};
    }
    if (const std::size_t size = framer.CompleteSize(end); size > 0) {
      jayrill::fuzz::Require(size <= end, "a request ends inside the buffer");
      return {0, size, framer.keep_alive()};
    }
  }
  return {};
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text = jayrill::fuzz::ToText(data, size);
  const frame whole = Read(text, size);
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}}) {
    const frame parts = Read(text, step);
    jayrill::fuzz::Require(parts.refused == whole.refused &&
                               parts.size == whole.size &&
                               parts.keep_alive == whole.keep_alive,
                           "the frame does not depend on how it arrives");
  }
  return 0;
}
