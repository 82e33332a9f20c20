#include <glog/logging.h>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include "jayrill/cli/command.h"
#include "jayrill/cli/text_table.h"

namespace jayrill {
namespace {

void StartLogging(const char* program) {
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = true;
  google::InitGoogleLogging(program);
}

/// Entries and agents write their log to standard output, where the platform
/// collects it. Standard output carries the results of all other commands.
void LogToStandardOutput() {
  FLAGS_logtostderr = false;
  FLAGS_logtostdout = true;
  // Output to a pipe is block-buffered by default. A killed process would lose
  // the last lines of its log, so each line is flushed.
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
}

int PrintFaults(const std::vector<setting_fault>& faults) {
  for (const setting_fault& fault : faults) {
    std::cerr << "jayrill: " << ToString(fault) << "\n";
  }
  return kExitUsage;
}

int UsageError(const std::string& message) {
  std::cerr << "jayrill: " << message << "\n";
  return kExitUsage;
}

int PrintSettings(const resolved_settings& resolved) {
  text_table table({"SETTING", "VALUE", "UNIT", "SOURCE"});
  for (const resolved_setting& item : resolved.settings) {
    table.AddRow({std::string(item.definition->name), item.value,
                  std::string(item.definition->unit),
                  std::string(ToString(item.source))});
  }
  std::cout << table.ToString();
  return resolved.faults.empty() ? kExitOk : PrintFaults(resolved.faults);
}

void LogWarnings(const resolved_settings& resolved) {
  for (const std::string& warning : resolved.warnings) {
    LOG(WARNING) << "settings: " << warning;
  }
}

int RunSettings(const parsed_arguments& parsed) {
  command_set set = kAnyCommand;
  if (!parsed.positional.empty()) {
    const command* const requested = FindCommand(parsed.positional.front());
    if (requested == nullptr) {
      return UsageError("there is no command '" + parsed.positional.front() +
                        "'; see jayrill --help");
    }
    set = requested->set;
  }
  const resolved_settings resolved =
      ResolveSettings(set, parsed.flags, ReadEnvironment());
  LogWarnings(resolved);
  return PrintSettings(resolved);
}

int RunCommand(const command& item, parsed_arguments parsed) {
  if (parsed.help) {
    std::cout << CommandHelp(item);
    return kExitOk;
  }
  const std::size_t count = parsed.positional.size();
  if (count < item.min_positional || count > item.max_positional) {
    return UsageError("usage: jayrill " + std::string(item.name) + " " +
                      std::string(item.arguments) + " [flags]");
  }
  if (item.run == nullptr) {
    return parsed.faults.empty() ? RunSettings(parsed)
                                 : PrintFaults(parsed.faults);
  }
  if ((item.set & (kEntry | kAgent)) != kNoCommand) {
    LogToStandardOutput();
  }
  resolved_settings resolved =
      ResolveSettings(item.set, parsed.flags, ReadEnvironment());
  LogWarnings(resolved);
  resolved.faults.insert(resolved.faults.begin(), parsed.faults.begin(),
                         parsed.faults.end());
  if (!resolved.faults.empty()) {
    return PrintFaults(resolved.faults);
  }
  return item.run({std::move(parsed.positional), std::move(resolved)});
}

int Main(int argc, char** argv) {
  StartLogging(argv[0]);
  // A write to a closed connection must return an error instead of ending the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const std::string name = arguments.empty() ? "" : arguments.front();
  if (name == "--help" || name == "-h" || name == "help") {
    std::cout << ProgramHelp();
    return kExitOk;
  }
  if (name == "--version") {
    std::cout << "jayrill " JAYRILL_VERSION "\n";
    return kExitOk;
  }
  const command* const item = FindCommand(name);
  if (item == nullptr) {
    return UsageError(name.empty() ? "no command was given; see jayrill --help"
                                   : "there is no command '" + name +
                                         "'; see jayrill --help");
  }
  return RunCommand(*item,
                    ParseArguments({arguments.begin() + 1, arguments.end()}));
}

}  // namespace
}  // namespace jayrill

int main(int argc, char** argv) {
  return jayrill::Main(argc, argv);
}
