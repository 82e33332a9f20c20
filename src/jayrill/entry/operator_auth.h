#ifndef JAYRILL_ENTRY_OPERATOR_AUTH_H_
#define JAYRILL_ENTRY_OPERATOR_AUTH_H_

#include <string>
#include <string_view>

#include "jayrill/base/error.h"
#include "jayrill/entry/http/http_exchange.h"

namespace jayrill {

/// Checks the secret of an operator request. Without a secret in the settings
/// every request is refused.
result<void> CheckSecret(const http_request& request, std::string_view secret);

/// \returns the operator that the header Jayrill-Operator names, or an error if
/// it is missing or not a valid name.
result<std::string> OperatorName(const http_request& request);

/// Compares in a time that depends only on the length of \p candidate, so that
/// a caller cannot guess the secret byte by byte. An empty \p secret equals
/// nothing.
bool EqualInConstantTime(std::string_view candidate, std::string_view secret);

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_OPERATOR_AUTH_H_
