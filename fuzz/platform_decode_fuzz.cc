#include <QJsonDocument>
#include <QJsonObject>

#include <chrono>
#include <string>

#include "fuzz_target.h"
#include "platform/platform.h"

namespace {

using jayrill::fuzz::Require;

void DecodeQueuedJob(const std::string& text) {
  const jayrill::platform::queue_format format;
  jayrill::cluster_config config;
  config.routes["r"] = {"h", "/p/", "s", "r", {}};
  jayrill::http_request request;
  request.path = "/p/5c0e7a21d94b36f8";
  request.headers = {{"host", "h"}};
  request.body = QByteArray::fromStdString(text);
  const auto job = format.Decode(request, config);
  if (job) {
    Require(
        !job->tasks.empty() && job->tasks.size() <= jayrill::kMaxTasksPerJob,
        "the number of tasks is in its range");
  } else {
    Require(job.error().effect == jayrill::job_effect::kNotRun,
            "a job that cannot be decoded has the effect kNotRun");
  }
}

void DecodeBeat(const std::string& text) {
  const auto beat = jayrill::platform::ParseHeartbeat(
      "i", text, jayrill::wall_time(std::chrono::hours(24 * 365 * 50)));
  if (beat) {
    Require(!beat->service.empty() && beat->port != 0,
            "an announced minion has a service and a port");
  }
}

void DecodeRunReport(const std::string& text) {
  const auto report = jayrill::platform::ParseReport(
      QJsonDocument::fromJson(QByteArray::fromStdString(text)).object());
  if (!report) {
    return;
  }
  std::uint64_t last = 0;
  for (const jayrill::ended_run& end : report->ended) {
    Require(end.sequence >= last, "ended runs are ordered by sequence number");
    last = end.sequence;
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  // The first byte selects the decoder; the rest is its input.
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 4) {
    case 0:
      DecodeQueuedJob(text);
      break;
    case 1:
      DecodeBeat(text);
      break;
    case 2:
      DecodeRunReport(text);
      break;
    default:
      jayrill::platform::config_format().Translate({{"op/config", text}});
  }
  return 0;
}
