#ifndef JAYRILL_BASE_ERROR_H_
#define JAYRILL_BASE_ERROR_H_

#include <compare>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace jayrill {

/// What kind of failure an error is; decides the HTTP status and exit code.
enum class error_kind {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kUnauthorized,
  kUnavailable,
  kLimitExceeded,
  kDeadlineExceeded,
  kUnknownOutcome,
  kInternal,
};

/// A typed failure: what was wrong and where, and what the reader can do.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string message;
  std::string remedy;

  auto operator<=>(const error&) const = default;
};

/// \returns the name of \p kind in snake case, as used in JSON and logs.
std::string_view ToString(error_kind kind);

/// \returns message and remedy on one line.
std::string ToString(const error& failure);

/// The value, or the error that kept it from being made.
template <typename T>
using result = tl::expected<T, error>;

/// \returns an error in the form that result<T> converts from.
tl::unexpected<error> MakeError(error_kind kind,
                                std::string message,
                                std::string remedy);

}  // namespace jayrill

#endif  // JAYRILL_BASE_ERROR_H_
