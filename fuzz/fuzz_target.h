#ifndef JAYRILL_FUZZ_FUZZ_TARGET_H_
#define JAYRILL_FUZZ_FUZZ_TARGET_H_

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

/// Entry point of a fuzz target; libFuzzer requires this name. Runs the code
/// under test with one input.
/// \returns 0.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

namespace jayrill::fuzz {

/// Aborts the process unless \p holds is true, also in builds with NDEBUG.
/// \param property what should hold, for the error output.
inline void Require(bool holds, const char* property) {
  if (!holds) {
    std::fprintf(stderr, "fuzz: violated: %s\n", property);
    std::abort();
  }
}

/// \returns the input as text.
inline std::string_view ToText(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace jayrill::fuzz

#endif  // JAYRILL_FUZZ_FUZZ_TARGET_H_
