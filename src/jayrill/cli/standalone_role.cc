#include <absl/flags/flag.h>

#include <QTimer>
#include <chrono>
#include <iostream>

#include "jayrill/base/clock.h"
#include "jayrill/cli/command.h"
#include "jayrill/cli/flags.h"
#include "jayrill/cli/http_call.h"
#include "jayrill/cli/operator_session.h"
#include "jayrill/cli/role_application.h"
#include "jayrill/cli/standalone.h"
#include "jayrill/load/job_request.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReadyPollInterval{50};
constexpr milliseconds kDemoWork{100};
constexpr milliseconds kDemoDeadline{20'000};
constexpr std::size_t kDemoTasks = 5;

/// Submits a sample job when the parts are ready, prints the answer, stops the
/// parts and ends the process.
class demo_submitter {
 public:
  demo_submitter(standalone& parts, role_application& application)
      : parts_(parts), application_(application) {
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] {
      if (parts_.IsReady()) {
        timer_.stop();
        Submit();
      }
    });
    timer_.start(kReadyPollInterval);
  }

 private:
  void Submit() {
    planned_job job;
    job.service = absl::GetFlag(FLAGS_service);
    job.team = "demo";
    job.deadline = kDemoDeadline;
    job.tasks.assign(kDemoTasks, {"demo", kDemoWork, kDemoWork});
    http_call call;
    call.method = "POST";
    call.path = "/v1/jobs";
    call.body = EncodeJobRequest(job, "");
    call.timeout = 2 * kDemoDeadline;
    std::cout << "\njob:    " << call.body.toStdString() << std::endl;
    const result<http_answer> answer = Send(parts_.entry_address(), call);
    int exit_code = kExitFailed;
    if (!answer) {
      operator_session::PrintError(answer.error());
    } else {
      std::cout << "answer: " << answer->body.toStdString() << std::endl;
      exit_code =
          ReadJobAnswer(answer->status, answer->body, kDemoTasks).completed
              ? kExitOk
              : kExitFailed;
    }
    parts_.Stop([this, exit_code] { application_.Finish(exit_code); });
  }

  standalone& parts_;
  role_application& application_;
  QTimer timer_;
};

}  // namespace

int RunStandalone(const command_input& /*input*/) {
  role_application application;
  const system_clock time;
  standalone parts(time);
  if (const result<void> started = parts.Start(); !started) {
    return ReportStartFailure("standalone process", started.error());
  }
  std::cout << parts.Describe() << std::flush;
  std::optional<demo_submitter> sample;
  if (absl::GetFlag(FLAGS_demo)) {
    sample.emplace(parts, application);
  }
  return application.Run(
      [&] { parts.Stop([&application] { application.Finish(kExitOk); }); });
}

}  // namespace jayrill
