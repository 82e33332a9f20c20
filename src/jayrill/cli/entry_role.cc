#include "jayrill/base/clock.h"
#include "jayrill/cli/command.h"
#include "jayrill/cli/role_application.h"
#include "jayrill/cli/role_settings.h"
#include "jayrill/entry/entry_process.h"

namespace jayrill {

int RunEntry(const command_input& /*input*/) {
  role_application application;
  const system_clock time;
  entry_process entry(EntrySettingsFromFlags(), time);
  entry.OnStopped([&application] { application.Finish(kExitOk); });
  if (const result<void> started = entry.Start(); !started) {
    return FailToStart("entry", started.error());
  }
  return application.Run([&entry] { entry.Stop(); });
}

}  // namespace jayrill
