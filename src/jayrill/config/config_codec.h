#ifndef JAYRILL_CONFIG_CONFIG_CODEC_H_
#define JAYRILL_CONFIG_CONFIG_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "jayrill/base/error.h"
#include "jayrill/config/cluster_config.h"

namespace jayrill {

/// Whether the JSON form contains the audit trail. Agents get the
/// configuration without it.
enum class audit_trail { kIncluded, kOmitted };

/// \returns the JSON form of \p config; equal configurations have equal forms.
std::string EncodeConfig(const cluster_config& config, audit_trail audit);

/// \returns the configuration in \p json, or an error of kind kInvalidArgument
/// when it is malformed. Unknown fields are ignored, so that processes of
/// different releases can run together.
result<cluster_config> DecodeConfig(std::string_view json);

/// \returns the compressed JSON form of \p config without its audit trail, as
/// entries and agents send it. Profiles and routes resemble each other, so it
/// is about a tenth of the size of the JSON form.
std::string PackConfig(const cluster_config& config);

/// \returns the configuration in \p packed, or an error of kind
/// kInvalidArgument when it is malformed.
result<cluster_config> UnpackConfig(std::string_view packed);

/// \returns the JSON form of \p records, as archives of the audit trail are
/// stored.
std::string EncodeAudit(const std::vector<audit_record>& records);

/// \returns the records in \p json, or an error of kind kInvalidArgument.
result<std::vector<audit_record>> DecodeAudit(std::string_view json);

/// \returns the profile in \p json, as operators send it, or an error of kind
/// kInvalidArgument. ApplyChange validates its values.
result<profile> DecodeProfile(std::string_view json);

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_CONFIG_CODEC_H_
