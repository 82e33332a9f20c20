#ifndef JAYRILL_CLI_FORCE_REPORT_H_
#define JAYRILL_CLI_FORCE_REPORT_H_

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

namespace jayrill {

/// Where a revision is in force, as the answer of /v1/status says.
struct force_report {
  std::int64_t revision = 0;
  std::size_t in_force = 0;
  std::size_t total = 0;
  std::vector<std::string> behind;  ///< Heard from, with an older revision.
  std::vector<std::string> silent;  ///< Not heard from.

  auto operator<=>(const force_report&) const = default;

  bool IsEverywhere() const { return in_force == total; }
};

/// \returns where \p revision is in force. Counts the entry that answered, the
/// other entries and the agents.
force_report ReadForce(const QJsonObject& status, std::int64_t revision);

/// \returns `revision r is in force at n of m` with those behind and silent.
std::string ToString(const force_report& report);

}  // namespace jayrill

#endif  // JAYRILL_CLI_FORCE_REPORT_H_
