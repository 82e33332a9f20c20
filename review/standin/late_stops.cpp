// Minions leave half of the orders unanswered for 2.6 s and carry them out
// late, while jobs reach their deadline and are sent again.

#include <optional>

#include "cases.hpp"

namespace review {

namespace {

// `fleetbench kinds`: applied_late takes a share of .5 of the orders; the site
// file lets it last 5.5 s.
constexpr double kLateShare = 0.5;
constexpr int kLateMs = 2600;

constexpr int kJobs = 32;
constexpr int kTasks = 15;
constexpr int kWorkMs = 3800;
constexpr int kEstimateMs = 1000;

// Plays one round on a deployment that starts anew.
// \returns the overlapping runs, or nothing when the round could not run.
std::optional<int> PlayRound(record& log, bool trouble, int round) {
  fleet site(log, 2, 8);
  if (!site.StartMinions() || !site.WarmUp()) {
    return std::nullopt;
  }
  QObject timers;
  int runs = 0;
  site.OnRun([&](const run_id&, const QString&) { ++runs; });
  for (int i = 0; i < kJobs; ++i) {
    QTimer::singleShot(i * 4, &timers, [&, i] {
      job item{NewJobId(), WorkSpec(kWorkMs), kTasks, 200, kEstimateMs, 1500};
      site.Submit(item, static_cast<std::size_t>(i % 2),
                  static_cast<std::size_t>((i + 1) % 2), [](int) {});
    });
  }
  Wait(1200);
  if (trouble) {
    log.Line(QStringLiteral("half of the orders are left unanswered"));
    for (std::size_t i = 0; i < site.minion_count(); ++i) {
      site.Minion(i).SetLateShare(kLateShare);
    }
  }
  Wait(kLateMs);
  log.Line(QStringLiteral("round %1: runs %2, overlapping runs %3")
               .arg(round)
               .arg(runs)
               .arg(site.overlaps()));
  if (runs < kJobs * kTasks || !site.AllAlive()) {
    return std::nullopt;
  }
  return site.overlaps();
}

}  // namespace

verdict LateStops(record& log, bool trouble) {
  constexpr int kRounds = 14;
  int played = 0;
  for (int round = 1; round <= kRounds; ++round) {
    const std::optional<int> overlaps = PlayRound(log, trouble, round);
    if (!overlaps) {
      log.Line(QStringLiteral("round %1 could not be played").arg(round));
      continue;
    }
    ++played;
    if (*overlaps > 0) {
      return verdict::kBroken;
    }
  }
  return 2 * played > kRounds ? verdict::kHeld : verdict::kNotRun;
}

}  // namespace review
