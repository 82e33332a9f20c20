// A client cancels its running job with DELETE and gets 410. The tasks of the
// job run on to their end, and one that waited for room is started later.
//
// Exit code: 1 when UNASKED was broken, 0 when it held, 2 when nothing was
// shown.

#include <cstdio>

#include "../peers/deployment.hpp"

namespace review::peers {
namespace {

// 20 tasks fill both minions; the second wave begins when the first has ended.
constexpr job kJob{30, 5000, 15'000};
constexpr qint64 kHeadroom = 16'000;
constexpr double kCancelMs = 3'000;  // `cancel_ms`
constexpr double kStopMs = 50;       // `stop_ms`

int Play(bool trouble, const QString& logs) {
  deployment site(logs, 2, /*is_guarding=*/true, QStringLiteral("a"),
                  kHeadroom);
  const QString id = deployment::NewJobId();
  int post_status = -1;
  int cancel_status = -1;
  double acknowledged_at = 1e18;
  site.Submit(0, id, kJob, [&](int status) { post_status = status; });
  RunFor(1000);
  const std::size_t begun = minion::History().size();
  if (!site.AllRun() || begun == 0) {
    record::Note(QStringLiteral("the deployment does not serve"));
    return 2;
  }
  if (trouble) {
    site.Cancel(0, id, [&](int status) {
      cancel_status = status;
      acknowledged_at = Now();
    });
  }
  RunUntil([&] { return post_status >= 0; }, 16'000);
  RunFor(500);
  record::NoteRuns();
  const bool is_acknowledged =
      cancel_status == 410 || (cancel_status >= 200 && cancel_status < 300);
  if (trouble && !is_acknowledged) {
    return 2;
  }
  int late_starts = 0;
  int late_runs = 0;
  for (const run& item : minion::History()) {
    const double end = item.ended < 0 ? Now() : item.ended;
    late_starts += item.begun > acknowledged_at + kCancelMs ? 1 : 0;
    late_runs += end > acknowledged_at + kCancelMs + kStopMs ? 1 : 0;
  }
  const QString result = QStringLiteral(
                             "post=%1 cancel=%2 tasks_started_late=%3 "
                             "tasks_at_work_late=%4")
                             .arg(post_status)
                             .arg(cancel_status)
                             .arg(late_starts)
                             .arg(late_runs);
  record::Note(result);
  std::printf("%s\n", qPrintable(result));
  if (!trouble && post_status != 200) {
    return 2;
  }
  return late_starts + late_runs > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review::peers

int main(int argc, char** argv) {
  return review::peers::RunCase(argc, argv, review::peers::Play);
}
