// A client sends a job whose spec begins with U+FEFF, a byte order mark.

#include "cases.hpp"

namespace review {

verdict SpecWithMark(record& log, bool trouble) {
  constexpr int kJobs = 10;
  fleet site(log, 1, 2);
  if (!site.StartMinions() || !site.WarmUp()) {
    return verdict::kNotRun;
  }
  std::set<QString> sent;
  int completed = 0;
  int ended = 0;
  int started = 0;
  int altered = 0;
  site.OnRun([&](const run_id& run, const QString& spec) {
    ++started;
    if (!sent.contains(spec)) {
      ++altered;
      log.Line(QStringLiteral("UNASKED: the spec of ") + run.first +
               QStringLiteral(" is ") +
               QString::fromLatin1(spec.toUtf8().toHex(' ')));
    }
  });
  for (int i = 0; i < kJobs; ++i) {
    QString spec = QStringLiteral("ramp %1").arg(i);
    if (trouble) {
      spec.prepend(QChar(0xFEFF));
    }
    sent.insert(spec);
    const job item{NewJobId(), spec, 1, 500, 50, 3000};
    log.Line(QStringLiteral("the spec of job ") + item.id +
             QStringLiteral(" is ") +
             QString::fromLatin1(spec.toUtf8().toHex(' ')));
    site.Post(item, 0, [&](int status) {
      ++ended;
      completed += status == 200 ? 1 : 0;
    });
  }
  Wait(5000, [&] { return ended == kJobs; });
  log.Line(QStringLiteral("jobs %1, completed %2, starts %3, other specs %4")
               .arg(kJobs)
               .arg(completed)
               .arg(started)
               .arg(altered));
  if (altered > 0) {
    return verdict::kBroken;
  }
  return completed == kJobs ? verdict::kHeld : verdict::kNotRun;
}

}  // namespace review
