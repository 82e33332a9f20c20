#ifndef JAYRILL_BASE_NAME_H_
#define JAYRILL_BASE_NAME_H_

#include <cstddef>
#include <string_view>

namespace jayrill {

/// Longest name of a service, team, profile, data centre, operator or process.
inline constexpr std::size_t kMaxNameSize = 64;

/// The rule of IsValidName as a remedy in errors.
inline constexpr std::string_view kNameRule =
    "use 1 to 64 characters of A-Z, a-z, 0-9, _, . or -, the first one a "
    "letter or digit";

/// \returns true when \p name may be used in requests, settings, URLs and
/// metrics. All code that accepts names uses this rule, so that each service
/// name that jobs can contain can also be bound to a profile.
bool IsValidName(std::string_view name);

}  // namespace jayrill

#endif  // JAYRILL_BASE_NAME_H_
