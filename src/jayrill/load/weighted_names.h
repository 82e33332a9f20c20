#ifndef JAYRILL_LOAD_WEIGHTED_NAMES_H_
#define JAYRILL_LOAD_WEIGHTED_NAMES_H_

#include <string_view>
#include <vector>

#include "jayrill/base/error.h"
#include "jayrill/load/poisson_arrivals.h"

namespace jayrill {

/// \returns the names in \p text, a list `name:weight,...`; a name without a
/// weight has the weight 1.
result<std::vector<weighted_name>> ParseWeightedNames(std::string_view text);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_WEIGHTED_NAMES_H_
