#ifndef JAYRILL_PLACEMENT_RACK_ID_H_
#define JAYRILL_PLACEMENT_RACK_ID_H_

#include <string_view>

#include "jayrill/base/hash.h"
#include "jayrill/base/ids.h"

namespace jayrill {

/// Identifies a rack by the hash of its name; 0: not known, or any rack.
using rack_id = strong_id<struct rack_id_tag>;

/// \returns the id of the rack \p name; 0 for an empty name.
inline rack_id RackId(std::string_view name) {
  return name.empty() ? rack_id{} : rack_id{StableHash(name) | 1U};
}

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_RACK_ID_H_
