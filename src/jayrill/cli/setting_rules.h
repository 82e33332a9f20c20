#ifndef JAYRILL_CLI_SETTING_RULES_H_
#define JAYRILL_CLI_SETTING_RULES_H_

#include <optional>
#include <string>
#include <vector>

#include "jayrill/cli/settings.h"

namespace jayrill {

/// What is wrong with a value and what to do about it.
struct setting_problem {
  std::string problem;
  std::string remedy;
};

/// Checks \p value, the text of the flag of \p item, on its own.
std::optional<setting_problem> CheckValue(const setting& item,
                                          const std::string& value,
                                          command_set commands);

/// Checks the rules between settings on the Abseil flags of \p commands.
std::vector<setting_fault> CheckTogether(command_set commands);

}  // namespace jayrill

#endif  // JAYRILL_CLI_SETTING_RULES_H_
