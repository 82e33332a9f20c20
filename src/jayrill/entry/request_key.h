#ifndef JAYRILL_ENTRY_REQUEST_KEY_H_
#define JAYRILL_ENTRY_REQUEST_KEY_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/job/job_spec.h"

namespace jayrill {

/// Age at which a request key is refused, and its tolerance for clocks that
/// are ahead.
inline constexpr std::chrono::minutes kKeyWindow{10};
inline constexpr std::chrono::minutes kKeyAhead{1};

/// \returns the time in the request key `<unix-ms>-<name>`, or an error when
/// it is malformed, too old or in the future.
result<wall_time> CheckRequestKey(std::string_view key, wall_time now);

/// \returns a hash of everything in \p spec that a resubmission must repeat.
/// The deadline may differ.
std::uint64_t ContentHash(const job_spec& spec);

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_REQUEST_KEY_H_
