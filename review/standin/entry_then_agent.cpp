// An entry is killed, and half a second later an agent that runs its tasks.

#include <optional>

#include "cases.hpp"

namespace review {

namespace {

constexpr int kAgents = 10;
constexpr int kJobs = 16;
constexpr int kTasks = 10;
constexpr int kWorkMs = 3000;
constexpr int kKillGapMs = 500;
constexpr int kRestartMs = 500;

// Plays both kills on a deployment that starts anew.
// \returns the overlapping runs, or nothing when the round could not run.
std::optional<int> PlayRound(record& log, bool trouble, int round) {
  fleet site(log, 2, kAgents);
  if (!site.StartMinions() || !site.WarmUp()) {
    return std::nullopt;
  }
  QObject timers;
  int ended = 0;
  int completed = 0;
  for (int i = 0; i < kJobs; ++i) {
    const job item{NewJobId(), WorkSpec(kWorkMs), kTasks, 500, kWorkMs, 8000};
    site.Submit(item, 0, 1, [&](int status) {
      ++ended;
      completed += status == 200 ? 1 : 0;
    });
  }
  Wait(800);
  if (trouble) {
    log.Line(QStringLiteral("edge-1 is killed"));
    site.Entry(0).process->Send(SIGKILL);
    Wait(kKillGapMs);
    log.Line(QStringLiteral("side-1 is killed"));
    site.Agent(0).process->Send(SIGKILL);
    Wait(kRestartMs);
    site.RestartEntry(0);
    site.RestartAgent(0);
  }
  Wait(10'000, [&] { return ended == kJobs; });
  log.Line(QStringLiteral("round %1: jobs %2, completed %3, overlapping runs "
                          "%4")
               .arg(round)
               .arg(kJobs)
               .arg(completed)
               .arg(site.overlaps()));
  if (completed == 0 || !site.AllAlive()) {
    return std::nullopt;
  }
  return site.overlaps();
}

}  // namespace

verdict EntryThenAgent(record& log, bool trouble) {
  constexpr int kRounds = 5;
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
