#ifndef JAYRILL_CONFIG_CONFIG_CHANGE_H_
#define JAYRILL_CONFIG_CONFIG_CHANGE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jayrill/base/error.h"
#include "jayrill/config/cluster_config.h"

namespace jayrill {

/// \name The changes that operators can make.
/// @{
struct set_profile {
  std::string name;
  profile value;
  auto operator<=>(const set_profile&) const = default;
};
struct remove_profile {
  std::string name;
  auto operator<=>(const remove_profile&) const = default;
};
struct bind_service {
  std::string name;
  std::string profile;
  auto operator<=>(const bind_service&) const = default;
};
struct unbind_service {
  std::string name;
  auto operator<=>(const unbind_service&) const = default;
};
struct set_team_quota {
  std::string name;
  std::uint32_t max_running = 0;
  auto operator<=>(const set_team_quota&) const = default;
};
struct remove_team_quota {
  std::string name;
  auto operator<=>(const remove_team_quota&) const = default;
};
/// Adds a data centre that is in service. Refused when the data centre is
/// already declared; otherwise it would bring one that is out back into
/// service.
struct declare_data_centre {
  std::string name;
  auto operator<=>(const declare_data_centre&) const = default;
};
struct take_data_centre_out {
  std::string name;
  bool force = false;  ///< Allows it for the last data centre in service.
  auto operator<=>(const take_data_centre_out&) const = default;
};
struct bring_data_centre_in {
  std::string name;
  auto operator<=>(const bring_data_centre_in&) const = default;
};
/// @}

/// One change of the configuration by an operator.
struct config_change {
  using action_type = std::variant<set_profile,
                                   remove_profile,
                                   bind_service,
                                   unbind_service,
                                   set_team_quota,
                                   remove_team_quota,
                                   declare_data_centre,
                                   take_data_centre_out,
                                   bring_data_centre_in>;

  action_type action;
  std::string operator_name;
  std::string reason;
  /// The change is refused when its item was changed after this configuration
  /// revision.
  std::optional<config_revision> base_revision;
  /// Random number for the audit record, set by config_store.
  /// \sa audit_record::token
  std::uint64_t token = 0;

  auto operator<=>(const config_change&) const = default;
};

/// Largest number of audit records that are stored with the configuration, and
/// the number of records that move to the archive together. A record takes
/// about 500 B, and the store holds values up to 1 MB.
inline constexpr std::size_t kMaxAuditRecords = 200;
inline constexpr std::size_t kAuditArchiveSize = 100;

/// \returns the name of the item that \p change edits, such as
/// `profile/urgent`.
std::string ItemOf(const config_change& change);

/// Applies \p change, validates the resulting configuration as a whole, adds an
/// audit record and increments the revision.
///
/// The audit trail of the result may exceed kMaxAuditRecords by one; call
/// TakeArchive before it is stored.
///
/// \returns the new configuration, or an error: kConflict when the item was
/// changed after the base revision (the message shows both values) or is
/// already declared, kNotFound when the item does not exist, kInvalidArgument
/// when the change or its result breaks a rule.
result<cluster_config> ApplyChange(const cluster_config& config,
                                   const config_change& change,
                                   wall_time now);

/// Removes the oldest kAuditArchiveSize records from a trail that exceeds
/// kMaxAuditRecords.
/// \returns the removed records; empty when the trail is within that limit.
std::vector<audit_record> TakeArchive(cluster_config& config);

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_CONFIG_CHANGE_H_
