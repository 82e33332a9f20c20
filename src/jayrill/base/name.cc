#include "jayrill/base/name.h"

#include <algorithm>

namespace jayrill {

namespace {

bool IsAlphanumeric(char c) {
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
         (c >= '0' && c <= '9');
}

bool IsNameChar(char c) {
  return IsAlphanumeric(c) || c == '_' || c == '.' || c == '-';
}

}  // namespace

bool IsValidName(std::string_view name) {
  // The first character must be alphanumeric because clients remove the
  // segments "." and ".." from URL paths.
  return !name.empty() && name.size() <= kMaxNameSize &&
         IsAlphanumeric(name.front()) &&
         std::all_of(name.begin(), name.end(), IsNameChar);
}

}  // namespace jayrill
