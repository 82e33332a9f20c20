#ifndef JAYRILL_LOAD_WEIGHTED_NAMES_H_
#define JAYRILL_LOAD_WEIGHTED_NAMES_H_

#include <string_view>
#include <vector>

#include "jayrill/base/error.h"
#include "jayrill/load/poisson_arrivals.h"

namespace jayrill {

/// \returns the names in \p text, a list `name:weight,...`; the weight defaults
/// to 1. An empty name or a weight that is not positive is an error
/// kInvalidArgument.
result<std::vector<weighted_name>> ParseWeightedNames(std::string_view text);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_WEIGHTED_NAMES_H_
