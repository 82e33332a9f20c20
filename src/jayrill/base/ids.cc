#include "jayrill/base/ids.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace jayrill {

std::string ToString(incarnation id) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, id.value);
  return text.data();
}

std::string ToString(const job_id& id) {
  return ToString(id.entry) + "-" + std::to_string(id.sequence);
}

}  // namespace jayrill
