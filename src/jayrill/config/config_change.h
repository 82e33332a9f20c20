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
/// Adds a data centre in service. Refused when it is declared already, so that
/// a declaration never brings back one that is out.
struct declare_data_centre {
  std::string name;
  auto operator<=>(const declare_data_centre&) const = default;
};
struct take_data_centre_out {
  std::string name;
  bool force = false;  ///< Also when no other data centre is in service.
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
  /// The change is refused when its item was changed after this revision.
  std::optional<config_revision> base_revision;
  /// Goes into the audit record; config_store draws it.
  std::uint64_t token = 0;

  auto operator<=>(const config_change&) const = default;
};

/// Largest number of audit records in the configuration value, and how many
/// move to the archive at once. A record takes about 500 B and a value of the
/// store at most 1 MB.
inline constexpr std::size_t kMaxAuditRecords = 200;
inline constexpr std::size_t kAuditArchiveSize = 100;

/// \returns the name of the item that \p change touches, such as
/// `profile/urgent`.
std::string ItemOf(const config_change& change);

/// Applies \p change, validates the configuration as a whole, adds the audit
/// record and raises the revision by one.
///
/// \returns the new configuration. Its audit trail may exceed
/// kMaxAuditRecords by one; see TakeArchive. Otherwise an error: kConflict
/// with both values when the item was changed after the base revision,
/// kNotFound when it does not exist, kInvalidArgument when a rule is broken.
result<cluster_config> ApplyChange(const cluster_config& config,
                                   const config_change& change,
                                   wall_time now);

/// Removes the oldest kAuditArchiveSize records from a trail that exceeds
/// kMaxAuditRecords.
/// \returns the removed records; empty when the trail is within its bound.
std::vector<audit_record> TakeArchive(cluster_config& config);

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_CONFIG_CHANGE_H_
