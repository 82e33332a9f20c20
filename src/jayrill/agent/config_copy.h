#ifndef JAYRILL_AGENT_CONFIG_COPY_H_
#define JAYRILL_AGENT_CONFIG_COPY_H_

#include <compare>
#include <string>

#include "jayrill/base/ids.h"

namespace jayrill {

/// An encoded configuration, as agents receive it from entries and forward it
/// to others.
struct config_copy {
  config_revision revision;
  std::string packed;  ///< Result of PackConfig.

  auto operator<=>(const config_copy&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_CONFIG_COPY_H_
