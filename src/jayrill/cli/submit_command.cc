#include <absl/flags/flag.h>
#include <absl/strings/str_cat.h>

#include <QCoreApplication>
#include <QFile>
#include <chrono>
#include <iostream>
#include <iterator>

#include "jayrill/base/clock.h"
#include "jayrill/base/random_source.h"
#include "jayrill/cli/command.h"
#include "jayrill/cli/flags.h"
#include "jayrill/cli/http_call.h"
#include "jayrill/cli/operator_client.h"
#include "jayrill/cli/operator_session.h"
#include "jayrill/cli/quick_job.h"
#include "jayrill/load/job_request.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

constexpr int kFirstFailureStatus = 300;
/// An entry answers by the deadline of the job, which is at most 600 s. This
/// timeout only ends the wait for an entry that no longer responds.
constexpr milliseconds kRequestTimeout{610'000};

result<QByteArray> ReadJob(const command_input& input) {
  if (absl::GetFlag(FLAGS_tasks) > 0) {
    return QuickJobFromFlags();
  }
  const std::string name =
      input.positional.empty() ? "-" : input.positional.front();
  if (name == "-") {
    return QByteArray::fromStdString(
        std::string(std::istreambuf_iterator<char>(std::cin), {}));
  }
  QFile file(QString::fromStdString(name));
  if (!file.open(QIODevice::ReadOnly)) {
    return MakeError(
        error_kind::kInvalidArgument,
        name + ": " + file.errorString().toStdString(),
        "give the name of a readable file that holds a job as JSON");
  }
  return file.readAll();
}

/// \returns the error of a failed job. Its message also holds the effect and
/// the code from the answer.
error ReadJobError(const http_answer& answer) {
  const job_answer_summary summary =
      ReadJobAnswer(answer.status, answer.body, 0);
  error failure = ReadError(answer.status, answer.Json());
  failure.message = absl::StrCat("the job failed (", summary.effect, ", ",
                                 summary.code, "): ", failure.message);
  return failure;
}

}  // namespace

QByteArray QuickJobFromFlags() {
  planned_job job;
  job.service = absl::GetFlag(FLAGS_service);
  job.team = absl::GetFlag(FLAGS_team);
  job.idempotent = absl::GetFlag(FLAGS_idempotent);
  job.deadline = milliseconds(absl::GetFlag(FLAGS_deadline_ms));
  const milliseconds work(absl::GetFlag(FLAGS_work_ms));
  job.same_rack = absl::GetFlag(FLAGS_same_rack);
  job.tasks.assign(static_cast<std::size_t>(absl::GetFlag(FLAGS_tasks)),
                   {absl::GetFlag(FLAGS_kind), work, work,
                    absl::GetFlag(FLAGS_preferred_rack)});
  std::string key = absl::GetFlag(FLAGS_request_key);
  if (!job.idempotent && key.empty()) {
    random_source random = random_source::FromSystem();
    key = absl::StrCat(system_clock().WallNow().time_since_epoch().count(),
                       "-submit-", absl::Hex(random()));
  }
  return EncodeJobRequest(job, key);
}

int RunSubmit(const command_input& input) {
  int argc = 0;
  const QCoreApplication application(argc, nullptr);
  const result<QByteArray> body = ReadJob(input);
  if (!body) {
    return operator_session::PrintError(body.error());
  }
  http_call call;
  call.method = "POST";
  call.path = "/v1/jobs";
  call.body = *body;
  call.timeout = kRequestTimeout;
  result<http_answer> answer =
      MakeError(error_kind::kUnavailable, "no entry address was given",
                "give --entry=IP:port");
  for (const std::string& entry : absl::GetFlag(FLAGS_entry)) {
    // Try the next entry only after a refused connection: after any other
    // failure the job may have been accepted.
    answer = Send(entry, call);
    if (answer || answer.error().kind != error_kind::kUnavailable) {
      break;
    }
  }
  if (!answer) {
    return operator_session::PrintError(answer.error());
  }
  std::cout << answer->body.toStdString() << "\n";
  return answer->status < kFirstFailureStatus
             ? kExitOk
             : operator_session::PrintError(ReadJobError(*answer));
}

}  // namespace jayrill
