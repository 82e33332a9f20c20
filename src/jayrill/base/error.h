#ifndef JAYRILL_BASE_ERROR_H_
#define JAYRILL_BASE_ERROR_H_

#include <compare>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace jayrill {

/// Category of an error. Determines the HTTP status and the exit code.
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

/// A failure with a machine-readable category.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string message;  ///< What went wrong and where.
  std::string remedy;   ///< What the reader can do about it; may be empty.

  auto operator<=>(const error&) const = default;
};

/// \returns the name of \p kind in snake case, as used in JSON and logs.
std::string_view ToString(error_kind kind);

/// \returns kind, message and remedy on one line.
std::string ToString(const error& failure);

/// The value of a successful call, or the error of a failed one.
template <typename T>
using result = tl::expected<T, error>;

/// \returns an error that converts to any result<T>.
tl::unexpected<error> MakeError(error_kind kind,
                                std::string message,
                                std::string remedy);

}  // namespace jayrill

#endif  // JAYRILL_BASE_ERROR_H_
