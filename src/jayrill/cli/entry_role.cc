#include <absl/flags/flag.h>

#include <utility>

#include "jayrill/base/clock.h"
#include "jayrill/cli/command.h"
#include "jayrill/cli/flags.h"
#include "jayrill/cli/role_application.h"
#include "jayrill/cli/role_settings.h"
#include "jayrill/entry/entry_process.h"
#include "platform/roles.h"

namespace jayrill {

int RunEntry(const command_input& /*input*/) {
  role_application application;
  const system_clock time;
  entry_settings settings = EntrySettingsFromFlags();
  platform::entry_adapter adapter(time);
  entry_overrides overrides;
  if (absl::GetFlag(FLAGS_platform)) {
    settings.limits.ready_agents = 1;
    overrides = adapter.MakeOverrides(settings);
  }
  entry_process entry(std::move(settings), time, std::move(overrides));
  entry.OnStopped([&application] { application.Finish(kExitOk); });
  if (const result<void> started = entry.Start(); !started) {
    return ReportStartFailure("entry", started.error());
  }
  return application.Run([&entry] { entry.Stop(); });
}

}  // namespace jayrill
