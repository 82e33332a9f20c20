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

/// \returns the name of \p source for people.
std::string_view ToString(setting_source source);

/// One fault of the settings: what was given where, what is wrong with it and
/// what to do.
struct setting_fault {
  std::string name;
  std::string value;  ///< Masked for secrets.
  std::string source;
  std::string problem;
  std::string remedy;

  auto operator<=>(const setting_fault&) const = default;
};

/// \returns \p fault on one line.
std::string ToString(const setting_fault& fault);

/// One argument of the form `--name=value`.
struct flag_argument {
  std::string name;
  std::string value;

  auto operator<=>(const flag_argument&) const = default;
};

/// The arguments behind the command.
struct parsed_arguments {
  std::vector<std::string> positional;
  std::vector<flag_argument> flags;
  std::vector<setting_fault> faults;  ///< A flag without a value.
  bool help = false;
};

/// Splits arguments into flags and the rest. Takes `--name=value`,
/// `--name value`, `--switch` and `--noswitch`; `--` ends the flags.
parsed_arguments ParseArguments(const std::vector<std::string>& arguments);

/// A setting as it is in force.
struct resolved_setting {
  const setting* item = nullptr;
  std::string value;  ///< Masked for secrets.
  setting_source source = setting_source::kDefault;
};

/// All settings of a command with everything that is wrong with them.
struct resolved_settings {
  std::vector<resolved_setting> settings;
  std::vector<setting_fault> faults;
  std::vector<std::string> warnings;
};

using environment_map = std::map<std::string, std::string>;

/// \returns the variables of this process that begin with JAYRILL_.
environment_map ReadEnvironment();

/// Sets the Abseil flags of \p commands from \p flags and, where a flag is
/// absent, from \p environment, and checks them all.
resolved_settings ResolveSettings(command_set commands,
                                  const std::vector<flag_argument>& flags,
                                  const environment_map& environment);

}  // namespace jayrill

#endif  // JAYRILL_CLI_SETTINGS_H_
