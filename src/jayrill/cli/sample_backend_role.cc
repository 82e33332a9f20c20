#include <glog/logging.h>

#include "jayrill/base/clock.h"
#include "jayrill/cli/command.h"
#include "jayrill/cli/role_application.h"
#include "jayrill/cli/role_settings.h"
#include "jayrill/sample/sample_backend.h"

namespace jayrill {

int RunSampleBackend(const command_input& /*input*/) {
  role_application application;
  const system_clock time;
  sample_backend backend(SampleSettingsFromFlags(), time);
  if (const result<void> started = backend.Start(); !started) {
    return ReportStartFailure("sample backend", started.error());
  }
  LOG(INFO) << "sample: running tasks on port " << backend.port();
  return application.Run(
      [&] { backend.Stop([&application] { application.Finish(kExitOk); }); });
}

}  // namespace jayrill
