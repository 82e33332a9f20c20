#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "jayrill/cli/command.h"

namespace jayrill {
namespace {

constexpr std::size_t kCommandColumn = 16;

constexpr std::string_view kExitCodes =
    "\nExit codes: 0 success, 1 failure, 2 invalid usage or settings.\n";

std::string FlagHelp(const setting& item) {
  const absl::CommandLineFlag* const flag =
      absl::FindCommandLineFlag({item.name.data(), item.name.size()});
  std::string text =
      item.privacy == setting_privacy::kSecret
          ? "  " + EnvironmentName(item.name) + " (environment only)\n"
          : absl::StrCat("  --", std::string(item.name), "=<",
                         std::string(TypeName(item)), ">\n");
  absl::StrAppend(&text, "      ", flag->Help(), ".");
  if (!item.unit.empty()) {
    absl::StrAppend(&text, " Unit: ", std::string(item.unit), ".");
  }
  const std::string allowed = AllowedValues(item);
  if (!allowed.empty() && item.type != setting_type::kSwitch) {
    absl::StrAppend(&text, " Allowed: ", allowed, ".");
  }
  const std::string default_value = flag->DefaultValue();
  absl::StrAppend(
      &text, default_value.empty() ? "" : " Default: " + default_value + ".",
      "\n");
  return text;
}

}  // namespace

std::string ProgramHelp() {
  std::string text = "jayrill " JAYRILL_VERSION
                     ", a dispatcher for jobs of short tasks\n\n"
                     "Usage: jayrill <command> [flags]\n\nCommands:\n";
  for (const command& item : AllCommands()) {
    std::string name(item.name);
    name.resize(std::max(name.size() + 1, kCommandColumn), ' ');
    absl::StrAppend(&text, "  ", name, std::string(item.summary), "\n");
  }
  absl::StrAppend(&text,
                  "\n`jayrill <command> --help` lists the flags of a command; "
                  "`jayrill --version`\nprints the version. Each flag can be "
                  "given as an environment variable in upper\ncase with the "
                  "prefix JAYRILL_; a flag overrides the variable.\n",
                  std::string(kExitCodes));
  return text;
}

std::string CommandHelp(const command& item) {
  const std::string name(item.name);
  const std::string arguments(item.arguments);
  std::string text = absl::StrCat(
      "jayrill ", name, ": ", std::string(item.summary), "\n\nUsage: jayrill ",
      name, arguments.empty() ? "" : " ", arguments, " [flags]\n");
  if (item.set == kAnyCommand) {
    return text +
           "\nAccepts the flags of the command whose settings it prints.\n" +
           std::string(kExitCodes);
  }
  text += "\nFlags:\n";
  for (const setting& flag : AllSettings()) {
    if ((flag.commands & item.set) != 0) {
      text += FlagHelp(flag);
    }
  }
  return text + std::string(kExitCodes);
}

}  // namespace jayrill
