// Each agent gets one heartbeat of another writer, which names a service that
// the configuration doesn't have.

#include "cases.hpp"

namespace review {

verdict ForeignHeartbeat(record& log, bool trouble) {
  constexpr int kTrafficMs = 30'000;
  constexpr int kGapMs = 200;
  fleet site(log, 2, 3);
  if (!site.StartMinions()) {
    return verdict::kNotRun;
  }
  if (trouble) {
    for (std::size_t i = 0; i < site.minion_count(); ++i) {
      log.Line(site.Agent(i).name +
               QStringLiteral(" gets a heartbeat of another writer"));
      site.Minion(i).Beat(
          {{QStringLiteral("id"), QStringLiteral("x-9")},
           {QStringLiteral("service"), QStringLiteral("other")},
           {QStringLiteral("sequence"), 1},
           {QStringLiteral("born"), QDateTime::currentMSecsSinceEpoch()}});
    }
  }
  Wait(7000);  // Traffic starts 10 s after the machines.
  int sent = 0;
  int served = 0;
  int ended = 0;
  QTimer clients;
  QObject::connect(&clients, &QTimer::timeout, &clients, [&] {
    const job item{NewJobId(), WorkSpec(60), 2, 500, 60, 1500};
    site.Post(item, static_cast<std::size_t>(sent) % site.entry_count(),
              [&](int status) {
                ++ended;
                served += status == 200 ? 1 : 0;
              });
    ++sent;
  });
  clients.start(kGapMs);
  Wait(kTrafficMs);
  clients.stop();
  Wait(3000, [&] { return ended == sent; });
  log.Line(QStringLiteral("requests %1, served %2").arg(sent).arg(served));
  if (trouble && served == 0) {
    log.Line(QStringLiteral("Fault: no request is served"));
    return verdict::kBroken;
  }
  return served > 0 && site.AllAlive() ? verdict::kHeld : verdict::kNotRun;
}

}  // namespace review
