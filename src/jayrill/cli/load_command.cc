#include <absl/flags/flag.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QFile>
#include <QTimer>
#include <chrono>
#include <iostream>
#include <memory>

#include "jayrill/base.h"
#include "jayrill/cli/command.h"
#include "jayrill/cli/flags.h"
#include "jayrill/cli/http_call.h"
#include "jayrill/cli/load_setup.h"
#include "jayrill/cli/operator_session.h"
#include "jayrill/cli/stop_signal.h"
#include "jayrill/load.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

/// \returns the sums of the counters of all \p entries. A counter is absent
/// when an entry does not report it or does not answer.
metric_totals ReadMetrics(const std::vector<std::string>& entries) {
  metric_totals totals{0, 0, 0};
  for (const std::string& entry : entries) {
    http_call call;
    call.path = "/metrics";
    call.timeout = milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    const result<http_answer> answer = Send(entry, call);
    if (!answer) {
      LOG(WARNING) << "load: cannot read the metrics of " << entry << ": "
                   << ToString(answer.error());
    }
    totals = Sum(totals, answer ? ReadTotals(answer->body.toStdString())
                                : metric_totals());
  }
  return totals;
}

/// Prints the progress of a load run to stderr and rewrites the line each
/// second. Prints nothing when stderr is not a terminal.
class progress_line {
 public:
  progress_line(const load_report& report, const load_runner& runner)
      : report_(report), runner_(runner) {
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Print(); });
    if (isatty(STDERR_FILENO) != 0) {
      timer_.start(std::chrono::seconds(1));
    }
  }

  void End() {
    if (timer_.isActive()) {
      timer_.stop();
      Print();
      std::cerr << "\n";
    }
  }

 private:
  void Print() const {
    std::cerr << "\rload: " << report_.sent() << " sent, "
              << report_.completed() << " whole, " << report_.refused()
              << " refused, " << report_.failed() << " failed, "
              << runner_.in_flight() << " in flight   " << std::flush;
  }

  const load_report& report_;
  const load_runner& runner_;
  QTimer timer_;
};

int Run(arrival_source& arrivals, QFile& trace_out) {
  random_source random = random_source::FromSystem();
  load_options options;
  options.entries = absl::GetFlag(FLAGS_entry);
  options.fleet = *ParseFleet(absl::GetFlag(FLAGS_fleet));
  options.connections = absl::GetFlag(FLAGS_connections);
  options.run_name = absl::StrCat("load-", absl::Hex(random()));
  if (trace_out.isOpen()) {
    options.on_sent = [&trace_out](const planned_job& job) {
      trace_out.write(QByteArray::fromStdString(EncodeTraceLine(job) + "\n"));
    };
  }
  const std::vector<std::string> entries = options.entries;
  const system_clock time;
  load_report report;
  load_runner runner(arrivals, std::move(options), time, report);
  const stop_signal stop([&runner] { runner.StopSending(); });
  const metric_totals before = ReadMetrics(entries);
  progress_line progress(report, runner);
  runner.Run();
  progress.End();
  report.SetMessages(Growth(before, ReadMetrics(entries)));
  std::cout << (absl::GetFlag(FLAGS_json) ? EncodeReport(report) + "\n"
                                          : FormatReport(report));
  return report.completed() > 0 || report.sent() == 0 ? kExitOk : kExitFailed;
}

}  // namespace

int RunLoad(const command_input& /*input*/) {
  int argc = 0;
  const QCoreApplication application(argc, nullptr);
  result<std::unique_ptr<arrival_source>> arrivals = ArrivalsFromFlags();
  if (!arrivals) {
    return operator_session::PrintError(arrivals.error());
  }
  QFile trace_out(QString::fromStdString(absl::GetFlag(FLAGS_trace_out)));
  if (!trace_out.fileName().isEmpty() &&
      !trace_out.open(QIODevice::WriteOnly | QIODevice::Truncate)) {
    return operator_session::PrintError(
        {error_kind::kInvalidArgument,
         absl::GetFlag(FLAGS_trace_out) + ": " +
             trace_out.errorString().toStdString(),
         "give the name of a writable file in --trace_out"});
  }
  if (const result<void> set = SetUrgencies(); !set) {
    return operator_session::PrintError(set.error());
  }
  return Run(**arrivals, trace_out);
}

}  // namespace jayrill
