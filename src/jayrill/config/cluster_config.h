#ifndef JAYRILL_CONFIG_CLUSTER_CONFIG_H_
#define JAYRILL_CONFIG_CLUSTER_CONFIG_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"

namespace jayrill {

/// Limits for the jobs of a profile; 0 means no limit.
struct profile_limits {
  std::uint32_t max_tasks = 0;    ///< Per job.
  std::uint32_t max_running = 0;  ///< Running tasks of the profile, per entry.
  std::chrono::milliseconds max_deadline{};  ///< Longest deadline of a job.

  auto operator<=>(const profile_limits&) const = default;
};

/// Where the tasks of a profile may run: data centres, and minimum resources
/// of the backend server.
struct profile_placement {
  std::set<std::string> data_centres;  ///< Empty means all.
  std::uint32_t min_cores = 0;
  std::uint32_t min_memory_mb = 0;
  std::uint32_t min_accelerators = 0;

  auto operator<=>(const profile_placement&) const = default;
};

/// A named set of scheduling rules for jobs, defined by operators.
struct profile {
  std::uint32_t urgency = 50;  ///< 0 to 100; higher goes first.
  profile_limits limits;
  profile_placement placement;
  /// Number of failed runs of one task after which its job fails.
  std::uint32_t attempts = 1;
  /// Latency objective of a job: slack_factor times the longest run time of its
  /// tasks, plus target_latency. 0 means that there is none.
  double slack_factor = 0;
  std::chrono::milliseconds target_latency{};
  config_revision changed{};  ///< Configuration revision of its last change.

  auto operator<=>(const profile&) const = default;
};

/// The profile that a service runs under.
struct service_binding {
  std::string profile;
  config_revision changed;

  auto operator<=>(const service_binding&) const = default;
};

/// Maps requests to a service and a profile by host and path prefix; among the
/// routes that match, the longest prefix wins. Used by adapters whose clients
/// don't name a service.
struct route {
  std::string host;
  std::string path_prefix;
  std::string service;
  std::string profile;
  config_revision changed;

  auto operator<=>(const route&) const = default;
};

/// Limit for the tasks of a team; 0 means no limit.
struct team_quota {
  std::uint32_t max_running = 0;  ///< Running tasks, over all entries.
  config_revision changed;

  auto operator<=>(const team_quota&) const = default;
};

/// Whether a data centre is in service.
struct data_centre_state {
  bool out = false;  ///< True when operators have taken it out of service.
  config_revision changed;

  auto operator<=>(const data_centre_state&) const = default;
};

/// One accepted change in the audit trail.
struct audit_record {
  config_revision revision;
  wall_time when;
  std::string operator_name;
  std::string reason;
  std::string item;    ///< For example `profile/urgent`.
  std::string before;  ///< JSON of the item; empty when it was absent.
  std::string after;   ///< JSON of the item; empty when it was removed.
  /// Random number that the process drew for the change that it wrote. When the
  /// answer to the write was lost, the process finds out by this token whether
  /// the change was stored.
  std::uint64_t token = 0;

  auto operator<=>(const audit_record&) const = default;
};

/// The whole configuration at one revision.
struct cluster_config {
  config_revision revision;
  std::map<std::string, profile, std::less<>> profiles;
  std::map<std::string, service_binding, std::less<>> services;
  std::map<std::string, route, std::less<>> routes;
  std::map<std::string, team_quota, std::less<>> teams;
  std::map<std::string, data_centre_state, std::less<>> data_centres;
  /// Oldest first; at most kMaxAuditRecords, older ones are in the archive.
  std::vector<audit_record> audit;

  auto operator<=>(const cluster_config&) const = default;

  /// \returns true when operators have taken \p data_centre out of service.
  bool IsOut(std::string_view data_centre) const;

  /// \returns the profile that \p service is bound to; the built-in default
  /// profile when it is bound to none or to an unknown one.
  const profile& ProfileOf(std::string_view service) const;

  /// \returns the profile \p name; the profile of \p service when \p name is
  /// empty or unknown.
  const profile& ProfileOf(std::string_view service,
                           std::string_view name) const;

  /// \returns the name of the route for \p path at \p host, or null when no
  /// route matches.
  const std::string* FindRoute(std::string_view host,
                               std::string_view path) const;
};

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_CLUSTER_CONFIG_H_
