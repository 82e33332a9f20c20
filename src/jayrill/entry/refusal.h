#ifndef JAYRILL_ENTRY_REFUSAL_H_
#define JAYRILL_ENTRY_REFUSAL_H_

#include <compare>
#include <string>

namespace jayrill {

/// Why a job is not run: the code, message and remedy of its failure.
struct refusal {
  std::string code;
  std::string message;
  std::string remedy;

  auto operator<=>(const refusal&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_REFUSAL_H_
