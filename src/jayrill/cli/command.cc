#include "jayrill/cli/command.h"

#include <algorithm>
#include <array>

namespace jayrill {
namespace {

// `settings` has no function: main.cc runs it, because it must print the
// settings of the command in its argument even when they are invalid.
constexpr auto kCommands = std::to_array<command>({
    {"entry", "", "accept jobs over HTTP and dispatch their tasks", kEntry, 0,
     0, RunEntry},
    {"agent", "", "run beside a minion and control every task start", kAgent, 0,
     0, RunAgent},
    {"sample-backend", "", "run a sample minion", kSampleBackend, 0, 0,
     RunSampleBackend},
    {"standalone", "",
     "run entry, agent, store and sample minion in one process", kStandalone, 0,
     0, RunStandalone},
    {"submit", "[FILE]", "submit a job from a file, standard input or --tasks",
     kSubmit, 0, 1, RunSubmit},
    {"load", "", "send jobs at a set rate and report response times", kLoad, 0,
     0, RunLoad},
    {"profile", "set|show|list|remove [NAME]", "change and show profiles",
     kProfile, 1, 2, RunProfile},
    {"service", "set|list|remove [NAME]", "change and show services", kService,
     1, 2, RunService},
    {"team", "set|list|remove [NAME]", "change and show quotas of teams", kTeam,
     1, 2, RunTeam},
    {"data-centre", "out|in|declare|list [NAME]",
     "take data centres out of service and back in", kDataCentre, 1, 2,
     RunDataCentre},
    {"status", "", "show all processes and the configuration revision at each",
     kStatus, 0, 0, RunStatus},
    {"audit", "", "show the audit trail", kAudit, 0, 0, RunAudit},
    {"settings", "[COMMAND]", "print settings, their values and sources",
     kAnyCommand, 0, 1, nullptr},
});

}  // namespace

std::span<const command> AllCommands() {
  return kCommands;
}

const command* FindCommand(std::string_view name) {
  const auto found =
      std::find_if(kCommands.begin(), kCommands.end(),
                   [&](const command& item) { return item.name == name; });
  return found == kCommands.end() ? nullptr : found;
}

}  // namespace jayrill
