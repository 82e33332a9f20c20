#ifndef JAYRILL_ENTRY_OPERATOR_AUTH_H_
#define JAYRILL_ENTRY_OPERATOR_AUTH_H_

#include <string>
#include <string_view>

#include "jayrill/base/error.h"
#include "jayrill/entry/http_exchange.h"

namespace jayrill {

/// Checks the secret of an operator request. Without a secret in the settings
/// every request is refused.
result<void> CheckSecret(const http_request& request, std::string_view secret);

/// \returns the operator that a change names.
result<std::string> OperatorOf(const http_request& request);

/// Compares in a time that depends on the length of \p given only, so that a
/// caller cannot find the secret byte by byte.
bool EqualInConstantTime(std::string_view given, std::string_view secret);

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_OPERATOR_AUTH_H_
