#ifndef JAYRILL_CLI_ROLLOUT_REPORT_H_
#define JAYRILL_CLI_ROLLOUT_REPORT_H_

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

namespace jayrill {

/// Where a revision is in force, as the answer of /v1/status says.
struct rollout_report {
  std::int64_t revision = 0;
  std::size_t in_force = 0;
  std::size_t total = 0;
  std::vector<std::string> behind;  ///< Heard from, with an older revision.
  std::vector<std::string> silent;  ///< Not connected.

  auto operator<=>(const rollout_report&) const = default;

  bool IsEverywhere() const { return in_force == total; }
};

/// \returns where \p revision is in force. Counts the entry that answered, the
/// other entries and the agents.
rollout_report ReadRollout(const QJsonObject& status, std::int64_t revision);

/// \returns `revision r is in force at n of m processes`, followed by the
/// processes that are behind or silent.
std::string ToString(const rollout_report& report);

}  // namespace jayrill

#endif  // JAYRILL_CLI_ROLLOUT_REPORT_H_
