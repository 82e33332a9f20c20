// A client cancels its job with DELETE while the POST of it still waits.

#include "cases.hpp"

namespace review {

verdict CancelledJob(record& log, bool trouble) {
  constexpr int kCancelMs = 3000;  // bounds.cancel_ms
  constexpr int kStopMs = 50;      // bounds.stop_ms
  constexpr int kSlackMs = 300;    // For the timers of this program.
  constexpr int kWorkMs = 6000;
  constexpr int kTasks = 4;
  fleet site(log, 1, 2);
  if (!site.StartMinions() || !site.WarmUp()) {
    return verdict::kNotRun;
  }
  const job item{NewJobId(), WorkSpec(kWorkMs), kTasks, 500, kWorkMs, 20'000};
  int started = 0;
  site.OnRun([&](const run_id&, const QString&) { ++started; });
  int answer = -1;
  site.Post(item, 0, [&](int status) { answer = status; });
  Wait(1000);
  if (started < kTasks) {
    return verdict::kNotRun;
  }
  int cancel_status = -1;
  if (trouble) {
    log.Line(QStringLiteral("client sends DELETE for job ") + item.id);
    SendRequest(site.Entry(0).http, "DELETE", kPrefix + item.id.toUtf8(),
                {{"Host", kHost}}, {}, 4000, [&](const http_message& response) {
                  cancel_status = response.status;
                });
    Wait(4000, [&] { return cancel_status != -1; });
    log.Line(QStringLiteral("client gets ") + QString::number(cancel_status) +
             QStringLiteral(" for DELETE"));
  }
  Wait(kCancelMs + kStopMs + kSlackMs);
  const bool is_at_work = site.IsAtWork(item.id);
  log.Line(QStringLiteral("%1 ms later, a task of the job is at work: %2")
               .arg(kCancelMs + kStopMs + kSlackMs)
               .arg(is_at_work));
  Wait(10'000, [&] { return answer != -1; });
  const bool is_acknowledged = cancel_status / 100 == 2 || cancel_status == 410;
  if (is_acknowledged && is_at_work) {
    log.Line(
        QStringLiteral("UNASKED: a task runs on after the cancelling was "
                       "acknowledged"));
    return verdict::kBroken;
  }
  return trouble || answer == 200 ? verdict::kHeld : verdict::kNotRun;
}

}  // namespace review
