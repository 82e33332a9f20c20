#ifndef JAYRILL_CLI_SETTING_H_
#define JAYRILL_CLI_SETTING_H_

#include <span>
#include <string>
#include <string_view>

#include "jayrill/cli/command_set.h"

namespace jayrill {

/// Type of the value of a setting. It is stricter than the type of the Abseil
/// flag that holds the value.
enum class setting_type {
  kText,
  kName,           ///< Letters, digits, `_`, `-` and `.`, at most 64.
  kAddress,        ///< IP:port.
  kListenAddress,  ///< IP:port; for port 0 the system chooses a port.
  kAddressList,    ///< IP:port,...
  kNumber,         ///< Between min and max.
  kSwitch,
  kChoice,  ///< One of choices.
};

/// Whether the value of a setting may be printed, and which sources are
/// allowed.
enum class setting_privacy {
  kShown,
  kSecret,  ///< Masked when printed; read from the environment only.
};

/// Definition of one setting. The Abseil flag of the same name holds its C++
/// type, default, description and value.
struct setting {
  std::string_view name;
  setting_type type = setting_type::kText;
  command_set commands = kNoCommand;  ///< Commands that have the setting.
  command_set required = kNoCommand;  ///< Commands that require a value.
  std::string_view unit = "";
  double min = 0;                 ///< For numbers only.
  double max = 0;                 ///< For numbers only.
  std::string_view choices = "";  ///< Separated by commas.
  setting_privacy privacy = setting_privacy::kShown;
};

/// \returns all settings, sorted by name.
std::span<const setting> AllSettings();

/// \returns the setting called \p name, or null.
const setting* FindSetting(std::string_view name);

/// \returns the environment variable of the setting called \p name.
std::string EnvironmentName(std::string_view name);

/// \returns a description of the allowed values of \p item for help and error
/// messages; empty when any text is allowed.
std::string AllowedValues(const setting& item);

/// \returns the name of the type of \p item for help and error messages.
std::string_view TypeName(const setting& item);

}  // namespace jayrill

#endif  // JAYRILL_CLI_SETTING_H_
