#ifndef JAYRILL_CLI_SETTING_RULES_H_
#define JAYRILL_CLI_SETTING_RULES_H_

#include <optional>
#include <string>
#include <vector>

#include "jayrill/cli/settings.h"

namespace jayrill {

/// What is wrong with a value and how to correct it.
struct setting_problem {
  std::string problem;
  std::string remedy;
};

/// Checks \p value, the text of the Abseil flag of \p item, without regard to
/// other settings. An empty value is a problem only where one is required.
/// \returns nothing when the value is valid.
std::optional<setting_problem> CheckValue(const setting& item,
                                          const std::string& value,
                                          command_set commands);

/// Checks the rules that involve several settings of \p commands. Reads the
/// values from the Abseil flags, so these must be set before.
std::vector<setting_fault> CheckSettingCombinations(command_set commands);

}  // namespace jayrill

#endif  // JAYRILL_CLI_SETTING_RULES_H_
