#include "jayrill/entry/operator_auth.h"

#include <cstddef>

#include "jayrill/base/name.h"

namespace jayrill {

bool EqualInConstantTime(std::string_view candidate, std::string_view secret) {
  if (secret.empty()) {
    return false;
  }
  // Volatile keeps the compiler from ending the loop at the first difference.
  volatile std::size_t difference = candidate.size() ^ secret.size();
  for (std::size_t i = 0; i < candidate.size(); ++i) {
    const auto byte = static_cast<unsigned char>(candidate[i]);
    const auto expected = static_cast<unsigned char>(secret[i % secret.size()]);
    difference = difference | static_cast<std::size_t>(byte ^ expected);
  }
  return difference == 0;
}

result<void> CheckSecret(const http_request& request, std::string_view secret) {
  constexpr std::string_view kScheme = "Bearer ";
  if (secret.empty()) {
    return MakeError(error_kind::kUnauthorized,
                     "this entry has no operator secret",
                     "start it with JAYRILL_OPERATOR_SECRET set");
  }
  const std::string_view field = request.Header("authorization");
  if (field.substr(0, kScheme.size()) != kScheme ||
      !EqualInConstantTime(field.substr(kScheme.size()), secret)) {
    return MakeError(error_kind::kUnauthorized,
                     "the operator secret is missing or wrong",
                     "send Authorization: Bearer <secret>; the command line "
                     "takes it from JAYRILL_OPERATOR_SECRET");
  }
  return {};
}

result<std::string> OperatorName(const http_request& request) {
  const std::string_view name = request.Header("jayrill-operator");
  if (!IsValidName(name)) {
    return MakeError(
        error_kind::kInvalidArgument, "the change does not name its operator",
        "send the header Jayrill-Operator; " + std::string(kNameRule));
  }
  return std::string(name);
}

}  // namespace jayrill
