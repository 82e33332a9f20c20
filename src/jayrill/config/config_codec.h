#ifndef JAYRILL_CONFIG_CONFIG_CODEC_H_
#define JAYRILL_CONFIG_CONFIG_CODEC_H_

#include <string>
#include <string_view>

#include "jayrill/base/error.h"
#include "jayrill/config/cluster_config.h"

namespace jayrill {

/// Whether the JSON form contains the audit trail. Agents get the
/// configuration without it.
enum class audit_trail { kIncluded, kOmitted };

/// \returns the JSON form of \p config; the same for equal configurations.
std::string EncodeConfig(const cluster_config& config, audit_trail audit);

/// \returns the configuration in \p json. Unknown fields are ignored, so that
/// releases can be mixed; anything malformed is an error kInvalidArgument.
result<cluster_config> DecodeConfig(std::string_view json);

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_CONFIG_CODEC_H_
