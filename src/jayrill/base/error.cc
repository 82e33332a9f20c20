#include "jayrill/base/error.h"

#include <utility>

namespace jayrill {

std::string_view ToString(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalidArgument:
      return "invalid_argument";
    case error_kind::kNotFound:
      return "not_found";
    case error_kind::kConflict:
      return "conflict";
    case error_kind::kUnauthorized:
      return "unauthorized";
    case error_kind::kUnavailable:
      return "unavailable";
    case error_kind::kLimitExceeded:
      return "limit_exceeded";
    case error_kind::kDeadlineExceeded:
      return "deadline_exceeded";
    case error_kind::kUnknownOutcome:
      return "unknown_outcome";
    case error_kind::kInternal:
      return "internal";
  }
  return "internal";
}

std::string ToString(const error& failure) {
  std::string text(ToString(failure.kind));
  text += ": ";
  text += failure.message;
  if (!failure.remedy.empty()) {
    text += "; ";
    text += failure.remedy;
  }
  return text;
}

tl::unexpected<error> MakeError(error_kind kind,
                                std::string message,
                                std::string remedy) {
  return tl::unexpected<error>(
      error{kind, std::move(message), std::move(remedy)});
}

}  // namespace jayrill
