// An entry freezes for 3.9 s while requests are on their way to it.

#include <optional>

#include "cases.hpp"

namespace review {

namespace {

constexpr int kFreezeMs = 3900;  // The site file freezes for 4 s at most.
constexpr int kRequests = 42;
constexpr int kRequestGapMs = 25;
constexpr int kWorkMs = 1300;

// Plays one freeze on a deployment that starts anew.
// \returns the overlapping runs, or nothing when the round could not run.
std::optional<int> PlayRound(record& log, bool trouble, int round) {
  fleet site(log, 2, 4);
  if (!site.StartMinions() || !site.WarmUp()) {
    return std::nullopt;
  }
  QObject timers;
  if (trouble) {
    log.Line(QStringLiteral("edge-1 is stopped by SIGSTOP"));
    site.Entry(0).process->Send(SIGSTOP);
    QTimer::singleShot(kFreezeMs, &timers, [&] {
      log.Line(QStringLiteral("edge-1 goes on after SIGCONT"));
      site.Entry(0).process->Send(SIGCONT);
    });
  }
  int ended = 0;
  int completed = 0;
  for (int i = 0; i < kRequests; ++i) {
    QTimer::singleShot(100 + i * kRequestGapMs, &timers, [&] {
      const job item{NewJobId(), WorkSpec(kWorkMs), 2, 500, kWorkMs, 1500};
      site.Submit(item, 0, 1, [&](int status) {
        ++ended;
        completed += status == 200 ? 1 : 0;
      });
    });
  }
  Wait(10'000, [&] { return ended == kRequests; });
  Wait(1000);
  log.Line(QStringLiteral("round %1: requests %2, completed %3, overlapping "
                          "runs %4")
               .arg(round)
               .arg(kRequests)
               .arg(completed)
               .arg(site.overlaps()));
  if (completed == 0 || !site.AllAlive()) {
    return std::nullopt;
  }
  return site.overlaps();
}

}  // namespace

verdict FrozenEntry(record& log, bool trouble) {
  constexpr int kRounds = 4;
  for (int round = 1; round <= kRounds; ++round) {
    const std::optional<int> overlaps = PlayRound(log, trouble, round);
    if (!overlaps) {
      return verdict::kNotRun;
    }
    if (*overlaps > 0) {
      return verdict::kBroken;
    }
  }
  return verdict::kHeld;
}

}  // namespace review
