#include "jayrill/cli/load_setup.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

#include <QFile>
#include <QJsonObject>
#include <chrono>
#include <utility>

#include "jayrill/cli/flags.h"
#include "jayrill/cli/operator_client.h"
#include "jayrill/load/ideal.h"
#include "jayrill/load/trace.h"
#include "jayrill/load/weighted_names.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

constexpr double kPercent = 100.0;

result<std::unique_ptr<arrival_source>> ReadTrace(const std::string& name) {
  QFile file(QString::fromStdString(name));
  if (!file.open(QIODevice::ReadOnly)) {
    return MakeError(error_kind::kInvalidArgument,
                     name + ": " + file.errorString().toStdString(),
                     "give the name of a readable trace in --trace");
  }
  result<trace_arrivals> trace =
      trace_arrivals::Parse(file.readAll().toStdString());
  if (!trace) {
    return tl::unexpected(trace.error());
  }
  return std::make_unique<trace_arrivals>(*std::move(trace));
}

}  // namespace

job_shape ShapeFromFlags() {
  job_shape shape;
  shape.tasks_min = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_tasks_min));
  shape.tasks_max = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_tasks_max));
  shape.work_min = milliseconds(absl::GetFlag(FLAGS_work_min_ms));
  shape.work_max = milliseconds(absl::GetFlag(FLAGS_work_max_ms));
  shape.long_share = absl::GetFlag(FLAGS_long_share);
  shape.long_min = milliseconds(absl::GetFlag(FLAGS_long_min_ms));
  shape.long_max = milliseconds(absl::GetFlag(FLAGS_long_max_ms));
  shape.declared_error = absl::GetFlag(FLAGS_declared_error);
  shape.services = *ParseWeightedNames(absl::GetFlag(FLAGS_services));
  shape.teams = *ParseWeightedNames(absl::GetFlag(FLAGS_teams));
  shape.idempotent_share = absl::GetFlag(FLAGS_idempotent_share);
  shape.deadline = milliseconds(absl::GetFlag(FLAGS_deadline_ms));
  return shape;
}

double RateFromFlags(const job_shape& shape) {
  const double rate = absl::GetFlag(FLAGS_rate);
  if (rate > 0) {
    return rate;
  }
  const std::chrono::duration<double> work = MeanJobWork(shape);
  return FleetCapacity(*ParseFleet(absl::GetFlag(FLAGS_fleet))) *
         absl::GetFlag(FLAGS_load_percent) / kPercent / work.count();
}

result<std::unique_ptr<arrival_source>> ArrivalsFromFlags() {
  const std::string trace = absl::GetFlag(FLAGS_trace);
  if (!trace.empty()) {
    return ReadTrace(trace);
  }
  const job_shape shape = ShapeFromFlags();
  auto arrivals = std::make_unique<poisson_arrivals>(
      shape, RateFromFlags(shape),
      milliseconds(absl::GetFlag(FLAGS_duration_ms)),
      static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)));
  arrivals->AddBurst(
      milliseconds(absl::GetFlag(FLAGS_burst_at_ms)),
      static_cast<std::uint32_t>(absl::GetFlag(FLAGS_burst_tasks)));
  return arrivals;
}

result<void> SetUrgencies() {
  const std::string text = absl::GetFlag(FLAGS_urgencies);
  if (text.empty()) {
    return {};
  }
  const std::vector<std::string> urgencies = absl::StrSplit(text, ',');
  const auto services = *ParseWeightedNames(absl::GetFlag(FLAGS_services));
  const std::string name = absl::GetFlag(FLAGS_operator_name);
  const operator_client client({absl::GetFlag(FLAGS_entry),
                                name.empty() ? "load" : name,
                                absl::GetFlag(FLAGS_operator_secret),
                                milliseconds(absl::GetFlag(FLAGS_timeout_ms))});
  for (std::size_t i = 0; i < services.size(); ++i) {
    const std::string profile = "load-" + services[i].name;
    const int urgency = std::stoi(urgencies[i]);
    auto change = client.Change("PUT", "/v1/profiles/" + profile,
                                {{QStringLiteral("urgency"), urgency}},
                                "load run", std::nullopt);
    if (change) {
      change = client.Change(
          "PUT", "/v1/services/" + services[i].name,
          {{QStringLiteral("profile"), QString::fromStdString(profile)}},
          "load run", std::nullopt);
    }
    if (!change) {
      return tl::unexpected(change.error());
    }
  }
  return {};
}

}  // namespace jayrill
