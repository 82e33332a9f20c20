#ifndef JAYRILL_BASE_IDS_H_
#define JAYRILL_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace jayrill {

/// An identifier whose type does not convert to that of other identifiers.
template <typename Tag>
struct strong_id {
  std::uint64_t value = 0;

  auto operator<=>(const strong_id&) const = default;
};

/// Random number that a process draws when it starts. Distinguishes it from an
/// earlier process with the same name.
using incarnation = strong_id<struct incarnation_tag>;

/// Sequence number of a start within a session, from 1.
using start_number = strong_id<struct start_number_tag>;

/// Number of a connection within a session; increases with each reconnect.
using connection_epoch = strong_id<struct connection_epoch_tag>;

/// Revision of the configuration; 0 stands for the empty configuration.
using config_revision = strong_id<struct config_revision_tag>;

/// Identifies one submission of a job across all entries.
struct job_id {
  incarnation entry;           ///< Entry that accepted the job.
  std::uint64_t sequence = 0;  ///< Number of the job at that entry.

  auto operator<=>(const job_id&) const = default;
};

/// \returns \p id as `<16 hex digits>-<sequence>`.
std::string ToString(const job_id& id);

/// \returns \p id as 16 hex digits.
std::string ToString(incarnation id);

}  // namespace jayrill

template <typename Tag>
struct std::hash<jayrill::strong_id<Tag>> {
  std::size_t operator()(const jayrill::strong_id<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>()(id.value);
  }
};

template <>
struct std::hash<jayrill::job_id> {
  std::size_t operator()(const jayrill::job_id& id) const noexcept {
    return std::hash<std::uint64_t>()(id.entry.value ^
                                      (id.sequence * 0x9e3779b97f4a7c15ULL));
  }
};

#endif  // JAYRILL_BASE_IDS_H_
