#include "jayrill/entry/request_key.h"

#include <charconv>
#include <cstdint>
#include <string>

#include "jayrill/base/hash.h"
#include "jayrill/job/job_codec.h"

namespace jayrill {

result<wall_time> CheckRequestKey(std::string_view key, wall_time now) {
  const std::size_t dash = key.find('-');
  std::int64_t milliseconds = 0;
  const auto [end, failure] =
      std::from_chars(key.data(), key.data() + key.size(), milliseconds);
  const bool has_time = failure == std::errc() &&
                        dash != std::string_view::npos && dash > 0 &&
                        end == key.data() + dash && dash <= 15;
  const std::string_view name =
      has_time ? key.substr(dash + 1) : std::string_view();
  bool printable = !name.empty() && key.size() <= 128;
  for (const char c : name) {
    printable = printable && c > 0x20 && c < 0x7f;
  }
  if (!printable) {
    return MakeError(
        error_kind::kInvalidArgument,
        "field 'request_key' does not have the form <unix-ms>-<name>",
        "give the time of the first submission in ms since 1970, a dash and "
        "a name of printable characters; 128 characters at most");
  }
  const wall_time time{std::chrono::milliseconds(milliseconds)};
  if (now - time > kKeyWindow || time - now > kKeyAhead) {
    return MakeError(error_kind::kLimitExceeded,
                     "the time of the request key is " +
                         std::to_string((now - time).count()) +
                         " ms before the entry's clock",
                     "submit within 10 minutes of that time; check the clock "
                     "of the client");
  }
  return time;
}

std::uint64_t ContentHash(const job_spec& spec) {
  std::uint64_t hash = StableHash(spec.service);
  hash = StableHash(spec.team, hash);
  for (const task_spec& task : spec.tasks) {
    hash = StableHash(task.kind, hash);
    hash = StableHash(task.payload, hash);
  }
  return hash;
}

}  // namespace jayrill
