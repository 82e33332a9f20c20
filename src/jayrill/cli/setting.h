#ifndef JAYRILL_CLI_SETTING_H_
#define JAYRILL_CLI_SETTING_H_

#include <span>
#include <string>
#include <string_view>

#include "jayrill/cli/command_set.h"

namespace jayrill {

/// Rule for the value of a setting, beyond the type of its flag.
enum class setting_form {
  kText,
  kName,           ///< Letters, digits, `_`, `-` and `.`, at most 64.
  kAddress,        ///< IP:port.
  kListenAddress,  ///< IP:port; port 0 lets the system choose one.
  kAddressList,    ///< IP:port,...
  kNumber,         ///< Between min and max.
  kSwitch,
  kChoice,  ///< One of choices.
};

/// Whether the value of a setting may be shown and where it may come from.
enum class setting_privacy {
  kShown,
  kSecret,  ///< Masked, and taken from the environment only.
};

/// What is known of one setting beside its Abseil flag of the same name, which
/// holds its type, default, description and value.
struct setting {
  std::string_view name;
  setting_form form = setting_form::kText;
  command_set commands = kNoCommand;
  command_set required = kNoCommand;  ///< Commands that need a value.
  std::string_view unit = "";
  double min = 0;
  double max = 0;
  std::string_view choices = "";  ///< Separated by commas.
  setting_privacy privacy = setting_privacy::kShown;
};

/// \returns all settings, sorted by name.
std::span<const setting> AllSettings();

/// \returns the setting called \p name, or null.
const setting* FindSetting(std::string_view name);

/// \returns the environment variable of the setting called \p name.
std::string EnvironmentName(std::string_view name);

/// \returns the allowed values of \p item, for help and messages; empty when
/// any text is allowed.
std::string AllowedValues(const setting& item);

/// \returns the type of \p item, for help and messages.
std::string_view TypeName(const setting& item);

}  // namespace jayrill

#endif  // JAYRILL_CLI_SETTING_H_
