#include "jayrill/base/random_source.h"

#include <cassert>

namespace jayrill {

random_source random_source::FromSystem() {
  std::random_device device;
  return random_source((std::uint64_t{device()} << 32U) | device());
}

std::uint64_t random_source::Below(std::uint64_t bound) {
  assert(bound > 0 && "the range must not be empty");
  return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
}

double random_source::Unit() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

}  // namespace jayrill
