#ifndef JAYRILL_ENTRY_REFUSAL_H_
#define JAYRILL_ENTRY_REFUSAL_H_

#include <chrono>
#include <compare>
#include <string>

namespace jayrill {

/// Why a job is not run: the code, message and remedy of its failure.
struct refusal {
  std::string code;
  std::string message;
  std::string remedy;
  /// Time after which the job may be submitted again.
  std::chrono::milliseconds retry_after{1000};

  auto operator<=>(const refusal&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_REFUSAL_H_
