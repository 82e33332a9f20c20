// A soak: real processes of the product under a seeded series of faults from
// outside, judged by what minions and callers have seen. Exits with 0 when no
// rule was broken, 1 when one was, and 2 when the fleet could not run.

#include <sys/prctl.h>
#include <unistd.h>

#include <QCommandLineParser>
#include <QCoreApplication>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <sstream>

#include "callers.h"
#include "faults.h"
#include "fleet.h"
#include "loop_lag.h"
#include "run_log.h"

namespace jayrill::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// What the command line sets.
struct soak_settings {
  QString program;
  QString log_directory;
  std::uint64_t seed = 1;
  milliseconds duration{20'000};
  milliseconds arrival_interval{40};
  milliseconds min_gap{150};
  milliseconds max_gap{1500};
  fleet_size size;
  int busy_processes = 0;
  std::vector<std::string> groups;
  bool are_callers_forwarded = false;
  leave_kind leave = leave_kind::kClose;
};

/// Starts \p count processes that use all processor time that they get. They
/// end with this process.
void StartBusyProcesses(int count) {
  for (int i = 0; i < count; ++i) {
    if (::fork() == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      volatile bool is_needed = true;
      while (is_needed) {
      }
    }
  }
}

double Seconds(steady_duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Describes what a play has shown. Times count from \p begin.
class report {
 public:
  report(const run_log& log, steady_time begin) : log_(log), begin_(begin) {}

  void WriteOverlap(std::ostream& out, const overlap& item) const {
    out << "two runs at once for " << Seconds(item.length) * 1000 << " ms: ["
        << Describe(item.first) << "] while [" << Describe(item.second)
        << "]\n";
    WriteSubmissions(out, JobOf(item.first.task));
  }

  void WriteSubmissions(std::ostream& out, const std::string& job) const {
    for (const submission_record& item : log_.SubmissionsOf(job)) {
      out << "  submitted to " << item.entry << " at "
          << Seconds(item.sent - begin_) << " answer " << item.status << " at "
          << Seconds(item.ended - begin_) << "\n";
    }
  }

  std::string Describe(const run_record& run) const {
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << run.task << " attempt "
         << run.attempt << " on " << run.minion << " from "
         << Seconds(run.begin - begin_);
    if (run.how != run_end::kRunning) {
      text << " to " << Seconds(run.end - begin_);
    }
    text << " " << ToString(run.how);
    return text.str();
  }

 private:
  const run_log& log_;
  steady_time begin_;
};

void WriteRecord(const soak_settings& settings,
                 const run_log& log,
                 const fault_series& faults,
                 steady_time begin) {
  if (settings.log_directory.isEmpty()) {
    return;
  }
  std::ofstream out(settings.log_directory.toStdString() + "/record.txt");
  out << "== faults\n";
  for (const std::string& line : faults.history()) {
    out << line << "\n";
  }
  out << "== runs\n";
  const report describer(log, begin);
  for (const run_record& run : log.runs()) {
    out << describer.Describe(run) << "\n";
  }
}

int Judge(const soak_settings& settings,
          const run_log& log,
          const callers& clients,
          const fleet& site,
          const fault_series& faults,
          const loop_lag& lag,
          steady_time begin) {
  constexpr std::size_t kShownCases = 5;
  const system_clock time;
  const std::vector<overlap> overlaps = log.Overlaps(time.Now());
  const std::set<std::string> refused = log.RefusedJobsThatRan();
  const std::vector<run_record> late = site.LateRuns(log);
  const report describer(log, begin);
  std::cout << std::fixed << std::setprecision(3);
  for (std::size_t i = 0; i < std::min(kShownCases, overlaps.size()); ++i) {
    describer.WriteOverlap(std::cout, overlaps[i]);
  }
  for (const std::string& job : refused) {
    std::cout << "ran although refused: " << job << "\n";
    describer.WriteSubmissions(std::cout, job);
    for (const run_record& run : log.runs()) {
      if (JobOf(run.task) == job) {
        std::cout << "  [" << describer.Describe(run) << "]\n";
      }
    }
  }
  for (std::size_t i = 0; i < std::min(kShownCases, late.size()); ++i) {
    std::cout << "began in a data centre that was out: ["
              << describer.Describe(late[i]) << "]\n";
  }
  std::cout << "soak: seed=" << settings.seed
            << " faults=" << faults.history().size()
            << " jobs=" << clients.jobs() << " runs=" << log.runs().size()
            << " answers";
  for (const auto& [status, count] : log.CountStatuses()) {
    std::cout << " " << status << "=" << count;
  }
  std::cout << " overlaps=" << overlaps.size()
            << " ran_although_refused=" << refused.size()
            << " late_starts=" << late.size()
            << " unexpected_ends=" << site.UnexpectedEnds()
            << " longest_lag_ms=" << lag.longest().count()
            << " late_percent=" << lag.LatePercent() << "\n";
  const bool are_starts_late = faults.LeavesAgentsAlone() && !late.empty();
  const bool is_broken = !overlaps.empty() || !refused.empty() ||
                         are_starts_late || site.UnexpectedEnds() > 0;
  return is_broken ? kBroken : kHeld;
}

int Play(const soak_settings& settings) {
  constexpr milliseconds kFaultFreeTime{1000};
  constexpr milliseconds kLastAnswerTimeLimit{20'000};
  const system_clock time;
  random_source fault_random(settings.seed);
  random_source caller_random(settings.seed + 1);
  random_source minion_random(settings.seed + 2);
  run_log log;
  fleet site(settings.size, settings.program, settings.log_directory, time, log,
             minion_random);
  if (!site.WaitUntilReady()) {
    std::cout << "soak: the entries are not ready\n";
    return kNotRun;
  }
  std::vector<QString> addresses;
  for (const entry_node& entry : site.entries()) {
    addresses.push_back(settings.are_callers_forwarded
                            ? entry.callers_link->Address()
                            : entry.http);
  }
  callers clients(std::move(addresses), settings.leave, time, log,
                  caller_random);
  fault_series faults(site, settings.groups, time, fault_random);
  const steady_time begin = time.Now();
  const loop_lag lag(time);
  clients.StartArrivals(settings.arrival_interval);
  RunEventLoop(kFaultFreeTime);
  faults.Start(settings.min_gap, settings.max_gap);
  RunEventLoop(settings.duration);
  faults.Stop();
  clients.StopArrivals();
  RunEventLoop(kLastAnswerTimeLimit,
               [&clients] { return clients.open_jobs() == 0; });
  for (agent_node& agent : site.agents()) {
    agent.minion->Settle();
  }
  WriteRecord(settings, log, faults, begin);
  if (log.CountStatuses()[200] == 0) {
    std::cout << "soak: no job was served\n";
    return kNotRun;
  }
  return Judge(settings, log, clients, site, faults, lag, begin);
}

soak_settings ParseSettings(const QCoreApplication& application) {
  QCommandLineParser parser;
  soak_settings settings;
  const auto add = [&parser](const char* name, const QString& help,
                             const QString& value) {
    parser.addOption({QLatin1String(name), help, QLatin1String(name), value});
  };
  add("program", QStringLiteral("program of the product"), {});
  add("logs", QStringLiteral("directory for the logs of the processes"), {});
  add("seed", QStringLiteral("seed of faults and jobs"), QStringLiteral("1"));
  add("seconds", QStringLiteral("time with faults"), QStringLiteral("20"));
  add("interval", QStringLiteral("ms between jobs"), QStringLiteral("40"));
  add("min-gap", QStringLiteral("least ms between faults"),
      QStringLiteral("150"));
  add("max-gap", QStringLiteral("most ms between faults"),
      QStringLiteral("1500"));
  add("data-centres", QStringLiteral("data centres"), QStringLiteral("3"));
  add("entries", QStringLiteral("entries"), QStringLiteral("3"));
  add("agents", QStringLiteral("agents"), QStringLiteral("10"));
  add("busy", QStringLiteral("busy processes beside"), QStringLiteral("0"));
  add("callers",
      QStringLiteral("how callers reach entries: direct, or forwarded as by a "
                     "balancer"),
      QStringLiteral("direct"));
  add("leave",
      QStringLiteral(
          "what callers that give up do: close, reset, stay or vanish"),
      QStringLiteral("close"));
  QStringList names;
  for (const std::string& group : fault_series::Groups()) {
    names.append(QString::fromStdString(group));
  }
  add("faults",
      QStringLiteral("groups of faults, of ") + names.join(u',') +
          QStringLiteral(" (default: all)"),
      {});
  parser.addHelpOption();
  parser.process(application);
  const auto number = [&parser](const char* name) {
    return parser.value(QLatin1String(name)).toInt();
  };
  settings.program = parser.value(QStringLiteral("program"));
  settings.log_directory = parser.value(QStringLiteral("logs"));
  settings.seed = parser.value(QStringLiteral("seed")).toULongLong();
  settings.duration = std::chrono::seconds(number("seconds"));
  settings.arrival_interval = milliseconds(number("interval"));
  settings.min_gap = milliseconds(number("min-gap"));
  settings.max_gap = milliseconds(number("max-gap"));
  settings.size = {number("data-centres"), number("entries"), number("agents")};
  settings.busy_processes = number("busy");
  for (const QString& group :
       parser.value(QStringLiteral("faults")).split(u',', Qt::SkipEmptyParts)) {
    settings.groups.push_back(group.toStdString());
  }
  settings.are_callers_forwarded =
      parser.value(QStringLiteral("callers")) == QStringLiteral("forwarded");
  const auto leave = ParseLeaveKind(parser.value(QStringLiteral("leave")));
  if (!leave) {
    parser.showHelp(kNotRun);
  }
  settings.leave = *leave;
  return settings;
}

}  // namespace
}  // namespace jayrill::soak

int main(int argc, char** argv) {
  QCoreApplication application(argc, argv);
  const auto settings = jayrill::soak::ParseSettings(application);
  if (settings.program.isEmpty()) {
    std::cerr << "soak: set --program\n";
    return jayrill::soak::kNotRun;
  }
  jayrill::soak::StartBusyProcesses(settings.busy_processes);
  return jayrill::soak::Play(settings);
}
