#include "jayrill/load/weighted_names.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <utility>

namespace jayrill {

result<std::vector<weighted_name>> ParseWeightedNames(std::string_view text) {
  std::vector<weighted_name> names;
  for (const absl::string_view part :
       absl::StrSplit(absl::string_view(text.data(), text.size()), ',')) {
    const std::pair<std::string, std::string> fields =
        absl::StrSplit(part, absl::MaxSplits(':', 1));
    weighted_name item{fields.first, 1.0};
    const bool has_weight = part.find(':') != absl::string_view::npos;
    if (item.name.empty() ||
        (has_weight && (!absl::SimpleAtod(fields.second, &item.weight) ||
                        !(item.weight > 0)))) {
      return MakeError(error_kind::kInvalidArgument,
                       absl::StrCat("'", part, "' is not a name with a weight"),
                       "write name:weight with a positive weight");
    }
    names.push_back(std::move(item));
  }
  return names;
}

}  // namespace jayrill
