#include "jayrill/cli/settings.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/str_cat.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "jayrill/base/endpoint.h"
#include "jayrill/cli/setting_rules.h"

namespace jayrill {
namespace {

constexpr std::string_view kPrefix = "JAYRILL_";
constexpr std::string_view kSecretMask = "********";

std::string MaskIfSecret(const setting& item, const std::string& value) {
  const bool hide = item.privacy == setting_privacy::kSecret && !value.empty();
  return hide ? std::string(kSecretMask) : value;
}

/// The value of a setting from a flag or the environment, if it has one.
struct given_value {
  std::optional<std::string> value;
  setting_source source = setting_source::kDefault;
};

given_value FindGivenValue(const setting& item,
                           const std::vector<flag_argument>& flags,
                           const environment_map& environment) {
  // When a flag is repeated, the last one takes effect.
  const auto flag =
      std::find_if(flags.rbegin(), flags.rend(),
                   [&](const flag_argument& f) { return f.name == item.name; });
  if (flag != flags.rend() && item.privacy == setting_privacy::kShown) {
    return {flag->value, setting_source::kFlag};
  }
  const auto variable = environment.find(EnvironmentName(item.name));
  if (variable != environment.end()) {
    return {variable->second, setting_source::kEnvironment};
  }
  return {};
}

std::string SourceText(const setting& item, setting_source source) {
  return source == setting_source::kEnvironment
             ? "environment " + EnvironmentName(item.name)
             : std::string(ToString(source));
}

/// Resolves the settings of one command.
class settings_resolver {
 public:
  settings_resolver(command_set commands,
                    const std::vector<flag_argument>& flags,
                    const environment_map& environment)
      : commands_(commands), flags_(flags), environment_(environment) {}

  resolved_settings Resolve() && {
    CheckFlags();
    CheckEnvironment();
    for (const setting& item : AllSettings()) {
      if ((item.commands & commands_) != 0) {
        ResolveOne(item);
      }
    }
    for (setting_fault& fault : CheckSettingCombinations(commands_)) {
      AddFault(std::move(fault));
    }
    return std::move(resolved_);
  }

 private:
  void CheckFlags() {
    for (const flag_argument& flag : flags_) {
      const setting* item = FindSetting(flag.name);
      if (item == nullptr) {
        AddFault({flag.name, flag.value, "flag", "there is no such flag",
                  "run the command with --help to list its flags"});
      } else if ((item->commands & commands_) == 0) {
        AddFault({flag.name, MaskIfSecret(*item, flag.value), "flag",
                  "the flag does not belong to this command",
                  "remove it; run the command with --help to list its flags"});
      } else if (item->privacy == setting_privacy::kSecret) {
        AddFault(
            {flag.name, MaskIfSecret(*item, flag.value), "flag",
             "a secret must not be a flag, because other users can see command "
             "lines",
             "set " + EnvironmentName(item->name) + " instead"});
      }
    }
  }

  void CheckEnvironment() {
    for (const auto& variable : environment_) {
      const std::string& name = variable.first;
      const bool known = std::any_of(
          AllSettings().begin(), AllSettings().end(),
          [&](const setting& s) { return EnvironmentName(s.name) == name; });
      if (!known) {
        resolved_.warnings.push_back(name + " is set but names no setting");
      }
    }
  }

  void ResolveOne(const setting& item) {
    absl::CommandLineFlag* const flag =
        absl::FindCommandLineFlag({item.name.data(), item.name.size()});
    const given_value given = FindGivenValue(item, flags_, environment_);
    const std::string source = SourceText(item, given.source);
    if (given.value) {
      std::string parse_error;
      if (!flag->ParseFrom(*given.value, &parse_error)) {
        AddFault({std::string(item.name), MaskIfSecret(item, *given.value),
                  source,
                  "the value is not a valid " + std::string(TypeName(item)),
                  "give " + AllowedValues(item)});
        return;
      }
    }
    const std::string value = flag->CurrentValue();
    if (std::optional<setting_problem> problem =
            CheckValue(item, value, commands_)) {
      AddFault({std::string(item.name), MaskIfSecret(item, value), source,
                std::move(problem->problem), std::move(problem->remedy)});
    }
    resolved_.settings.push_back(
        {&item, MaskIfSecret(item, value), given.source});
  }

  void AddFault(setting_fault fault) {
    resolved_.faults.push_back(std::move(fault));
  }

  const command_set commands_;
  const std::vector<flag_argument>& flags_;
  const environment_map& environment_;
  resolved_settings resolved_;
};

}  // namespace

std::string_view ToString(setting_source source) {
  switch (source) {
    case setting_source::kDefault:
      return "default";
    case setting_source::kEnvironment:
      return "environment";
    case setting_source::kFlag:
      return "flag";
  }
  return "default";
}

std::string ToString(const setting_fault& fault) {
  return absl::StrCat(fault.name, " = '", fault.value, "' (", fault.source,
                      "): ", fault.problem, "; ", fault.remedy);
}

parsed_arguments ParseArguments(const std::vector<std::string>& arguments) {
  parsed_arguments parsed;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (argument == "--") {
      parsed.positional.insert(parsed.positional.end(),
                               arguments.begin() + static_cast<long>(i) + 1,
                               arguments.end());
      break;
    }
    if (argument == "--help" || argument == "-h") {
      parsed.help = true;
      continue;
    }
    if (argument.size() < 2 || argument[0] != '-') {
      parsed.positional.push_back(argument);
      continue;
    }
    std::string name = argument.substr(argument[1] == '-' ? 2 : 1);
    const std::size_t equals = name.find('=');
    if (equals != std::string::npos) {
      parsed.flags.push_back({name.substr(0, equals), name.substr(equals + 1)});
      continue;
    }
    const setting* item = FindSetting(name);
    if (item == nullptr && name.starts_with("no")) {
      const setting* negated = FindSetting(name.substr(2));
      if (negated != nullptr && negated->type == setting_type::kSwitch) {
        parsed.flags.push_back({name.substr(2), "false"});
        continue;
      }
    }
    if (item == nullptr || item->type == setting_type::kSwitch) {
      parsed.flags.push_back({name, item == nullptr ? "" : "true"});
    } else if (i + 1 < arguments.size()) {
      parsed.flags.push_back({name, arguments[++i]});
    } else {
      parsed.faults.push_back({name, "", "flag", "the flag has no value",
                               "write --" + name + "=VALUE"});
    }
  }
  return parsed;
}

environment_map ReadEnvironment() {
  environment_map variables;
  for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
    const std::string_view text(*entry);
    const std::size_t equals = text.find('=');
    if (text.starts_with(kPrefix) && equals != std::string_view::npos) {
      variables.emplace(text.substr(0, equals), text.substr(equals + 1));
    }
  }
  return variables;
}

resolved_settings ResolveSettings(command_set commands,
                                  const std::vector<flag_argument>& flags,
                                  const environment_map& environment) {
  return settings_resolver(commands, flags, environment).Resolve();
}

}  // namespace jayrill
