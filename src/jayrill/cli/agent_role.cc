#include <absl/flags/flag.h>
#include <glog/logging.h>

#include "jayrill/agent/agent_process.h"
#include "jayrill/base/clock.h"
#include "jayrill/cli/command.h"
#include "jayrill/cli/flags.h"
#include "jayrill/cli/role_application.h"
#include "jayrill/cli/role_settings.h"
#include "platform/roles.h"

namespace jayrill {

int RunAgent(const command_input& /*input*/) {
  role_application application;
  const system_clock time;
  platform::agent_adapter adapter(absl::GetFlag(FLAGS_config), time);
  agent_overrides overrides;
  if (absl::GetFlag(FLAGS_platform)) {
    overrides = adapter.MakeOverrides(LeaseSettingsFromFlags());
  }
  agent_process agent(AgentSettingsFromFlags(), time, overrides);
  agent.OnStopped([&application] { application.Finish(kExitOk); });
  if (const result<void> started = agent.Start(); !started) {
    return ReportStartFailure("agent", started.error());
  }
  LOG(INFO) << "agent: listening for announcements on port "
            << agent.http_port();
  return application.Run([&agent] { agent.Stop(); });
}

}  // namespace jayrill
