#include "jayrill/entry/http/http_framer.h"

#include <algorithm>

#include "fuzz_target.h"

namespace {

using jayrill::http_framer;

// Small limits, so that inputs exceed them.
constexpr std::size_t kMaxHeader = 512;
constexpr std::size_t kMaxBody = 256;

/// What the framer found in an input.
struct frame {
  int refusal_status = 0;  // Status of the refusal, or 0.
  std::size_t size = 0;    // Size of the complete request, or 0.
  bool keep_alive = false;
};

/// Passes \p text to a framer in steps of \p step bytes, as if it arrived over
/// a slow connection.
frame ReadFrame(std::string_view text, std::size_t step) {
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
  const frame frame_of_whole = ReadFrame(text, size);
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}}) {
    const frame frame_of_parts = ReadFrame(text, step);
    jayrill::fuzz::Require(
        frame_of_parts.refusal_status == frame_of_whole.refusal_status &&
            frame_of_parts.size == frame_of_whole.size &&
            frame_of_parts.keep_alive == frame_of_whole.keep_alive,
        "the frame does not depend on the steps in which it arrives");
  }
  return 0;
}
