#ifndef JAYRILL_CLI_SETTINGS_H_
#define JAYRILL_CLI_SETTINGS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jayrill/cli/command_set.h"
#include "jayrill/cli/setting.h"

namespace jayrill {

/// Where the value of a setting came from.
enum class setting_source { kDefault, kEnvironment, kFlag };

/// \returns the name of \p source as `jayrill settings` prints it.
std::string_view ToString(setting_source source);

/// An invalid setting: its value, the source of the value, what is wrong with
/// it and how to correct it.
struct setting_fault {
  std::string name;
  std::string value;   ///< Masked for secrets.
  std::string source;  ///< Text, such as `flag` or `environment JAYRILL_ID`.
  std::string problem;
  std::string remedy;

  auto operator<=>(const setting_fault&) const = default;
};

/// \returns \p fault as a message of one line.
std::string ToString(const setting_fault& fault);

/// One argument of the form `--name=value`.
struct flag_argument {
  std::string name;
  std::string value;

  auto operator<=>(const flag_argument&) const = default;
};

/// The arguments that follow the name of the command.
struct parsed_arguments {
  std::vector<std::string> positional;
  std::vector<flag_argument> flags;
  std::vector<setting_fault> faults;  ///< Flags whose value is missing.
  bool help = false;
};

/// Splits arguments into flags and positional arguments. Accepts
/// `--name=value`, `--name value`, `--switch` and `--noswitch`; all arguments
/// after `--` are positional. Unknown flags are kept, and ResolveSettings
/// reports them.
parsed_arguments ParseArguments(const std::vector<std::string>& arguments);

/// A setting with its effective value.
struct resolved_setting {
  const setting* definition = nullptr;
  std::string value;  ///< Masked for secrets.
  setting_source source = setting_source::kDefault;
};

/// All settings of a command and the faults found in them.
struct resolved_settings {
  std::vector<resolved_setting> settings;
  std::vector<setting_fault> faults;
  std::vector<std::string> warnings;  ///< Variables that name no setting.
};

using environment_map = std::map<std::string, std::string>;

/// \returns the environment variables of this process that begin with JAYRILL_.
environment_map ReadEnvironment();

/// Sets the Abseil flags of \p commands from \p flags and, where a flag is
/// absent, from \p environment, and checks all of them. Reports all faults
/// together, so that an operator can correct them in one attempt.
resolved_settings ResolveSettings(command_set commands,
                                  const std::vector<flag_argument>& flags,
                                  const environment_map& environment);

}  // namespace jayrill

#endif  // JAYRILL_CLI_SETTINGS_H_
