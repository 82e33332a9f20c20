#include "jayrill/load/load_runner.h"

#include <absl/strings/str_cat.h>

#include <QUrl>
#include <algorithm>
#include <utility>

#include "jayrill/load/job_request.h"

namespace jayrill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// An entry answers a job by its deadline. A request that is unanswered this
/// long after the deadline is aborted and counts as `no_answer`.
constexpr milliseconds kAnswerGrace{10'000};

std::vector<microseconds> RunTimes(const planned_job& job) {
  std::vector<microseconds> times;
  times.reserve(job.tasks.size());
  for (const planned_task& task : job.tasks) {
    times.push_back(task.work);
  }
  return times;
}

}  // namespace

load_runner::load_runner(arrival_source& arrivals,
                         load_options options,
                         const clock& time,
                         load_report& report)
    : arrivals_(arrivals),
      options_(std::move(options)),
      clock_(time),
      report_(report),
      pool_(options_.entries.size(), options_.connections),
      queued_jobs_(options_.entries.size()) {
  send_timer_.setSingleShot(true);
  send_timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&send_timer_, &QTimer::timeout, &loop_,
                   [this] { SendDueJobs(); });
}

void load_runner::Run() {
  start_time_ = clock_.Now();
  next_job_ = arrivals_.Next();
  send_timer_.start(0);
  loop_.exec();
  report_.SetElapsed(Elapsed());
}

void load_runner::StopSending() {
  next_job_.reset();
  for (std::deque<planned_job>& queue : queued_jobs_) {
    queue.clear();
  }
  send_timer_.start(0);
}

void load_runner::SendDueJobs() {
  while (next_job_ && next_job_->offset <= Elapsed()) {
    planned_job due = *std::move(next_job_);
    next_job_ = arrivals_.Next();
    SendOrQueue(std::move(due));
  }
  if (next_job_) {
    const auto time_left =
        std::chrono::ceil<milliseconds>(next_job_->offset - Elapsed());
    send_timer_.start(std::max(time_left, milliseconds(0)));
  }
  QuitWhenDone();
}

void load_runner::SendOrQueue(planned_job job) {
  const std::size_t entry = next_entry_;
  next_entry_ = (next_entry_ + 1) % options_.entries.size();
  if (!queued_jobs_[entry].empty() || !TrySend(job, entry)) {
    queued_jobs_[entry].push_back(std::move(job));
  }
}

bool load_runner::TrySend(const planned_job& job, std::size_t entry) {
  std::string key;
  if (!job.idempotent) {
    key = absl::StrCat(clock_.WallNow().time_since_epoch().count(), "-",
                       options_.run_name, "-", ++last_key_number_);
  }
  QNetworkRequest request(QUrl(QString::fromStdString(
      "http://" + options_.entries[entry] + "/v1/jobs")));
  request.setHeader(QNetworkRequest::ContentTypeHeader,
                    QStringLiteral("application/json"));
  request.setTransferTimeout(
      static_cast<int>((job.deadline + kAnswerGrace).count()));
  const bool sent =
      pool_.Post(entry, request, EncodeJobRequest(job, key),
                 [this, job](QNetworkReply& reply) { OnReply(job, reply); });
  if (sent) {
    ++in_flight_;
    report_.OnJobSent(Elapsed() - job.offset);
    if (options_.on_sent) {
      options_.on_sent(job);
    }
  }
  return sent;
}

void load_runner::SendQueued() {
  for (std::size_t entry = 0; entry < queued_jobs_.size(); ++entry) {
    while (!queued_jobs_[entry].empty() &&
           TrySend(queued_jobs_[entry].front(), entry)) {
      queued_jobs_[entry].pop_front();
    }
  }
}

void load_runner::OnReply(const planned_job& job, QNetworkReply& reply) {
  --in_flight_;
  int status =
      reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  // Qt keeps the status of the header when the connection closes or the request
  // times out before the end of the body. Such a reply is not an answer.
  if (reply.error() == QNetworkReply::RemoteHostClosedError ||
      reply.error() == QNetworkReply::OperationCanceledError) {
    status = 0;
  }
  job_answer_summary answer =
      ReadJobAnswer(status, reply.readAll(), job.tasks.size());
  job_sample sample;
  sample.team = job.team;
  sample.tasks = job.tasks.size();
  sample.ideal = IdealResponseTime(RunTimes(job), options_.fleet);
  sample.latency = Elapsed() - job.offset;
  sample.deadline = job.deadline;
  sample.completed = answer.completed;
  sample.effect = std::move(answer.effect);
  sample.code = std::move(answer.code);
  report_.OnJobEnded(sample);
  SendQueued();
  QuitWhenDone();
}

void load_runner::QuitWhenDone() {
  const bool has_queued_jobs =
      std::any_of(queued_jobs_.begin(), queued_jobs_.end(),
                  [](const auto& queue) { return !queue.empty(); });
  if (!next_job_ && in_flight_ == 0 && !has_queued_jobs) {
    loop_.quit();
  }
}

microseconds load_runner::Elapsed() const {
  return std::chrono::duration_cast<microseconds>(clock_.Now() - start_time_);
}

}  // namespace jayrill
