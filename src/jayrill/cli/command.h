#ifndef JAYRILL_CLI_COMMAND_H_
#define JAYRILL_CLI_COMMAND_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "jayrill/cli/command_set.h"
#include "jayrill/cli/settings.h"

namespace jayrill {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

/// Input of a command besides the Abseil flags.
struct command_input {
  std::vector<std::string> positional;
  resolved_settings settings;
};

/// One subcommand of the program `jayrill`.
struct command {
  std::string_view name;
  std::string_view arguments;  ///< Positional arguments as the help shows them.
  std::string_view summary;
  command_set set = kNoCommand;  ///< Bit of the command; for `settings` all.
  std::size_t min_positional = 0;
  std::size_t max_positional = 0;
  /// Runs the command; null for `settings`.
  /// \returns the exit code.
  int (*run)(const command_input& input) = nullptr;
};

/// \returns all commands in the order in which the help lists them.
std::span<const command> AllCommands();

/// \returns the command called \p name, or null.
const command* FindCommand(std::string_view name);

/// \returns the help text of the program, which lists the commands.
std::string ProgramHelp();

/// \returns the help text of \p item, which lists its flags sorted by name.
std::string CommandHelp(const command& item);

// Functions that run the commands. They return the exit code.
int RunEntry(const command_input& input);
int RunAgent(const command_input& input);
int RunSampleBackend(const command_input& input);
int RunStandalone(const command_input& input);
int RunSubmit(const command_input& input);
int RunLoad(const command_input& input);
int RunProfile(const command_input& input);
int RunService(const command_input& input);
int RunTeam(const command_input& input);
int RunDataCentre(const command_input& input);
int RunStatus(const command_input& input);
int RunAudit(const command_input& input);

}  // namespace jayrill

#endif  // JAYRILL_CLI_COMMAND_H_
