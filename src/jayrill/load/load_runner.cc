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

/// An entry answers by the deadline; past this it counts as no answer.
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
      waiting_(options_.entries.size()) {
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&timer_, &QTimer::timeout, &loop_, [this] { SendDue(); });
}

void load_runner::Run() {
  start_ = clock_.Now();
  next_ = arrivals_.Next();
  timer_.start(0);
  loop_.exec();
  report_.SetElapsed(Elapsed());
}

void load_runner::StopSending() {
  next_.reset();
  for (std::deque<planned_job>& queue : waiting_) {
    queue.clear();
  }
  timer_.start(0);
}

void load_runner::SendDue() {
  while (next_ && next_->offset <= Elapsed()) {
    planned_job due = *std::move(next_);
    next_ = arrivals_.Next();
    SendOrWait(std::move(due));
  }
  if (next_) {
    const auto left =
        std::chrono::ceil<milliseconds>(next_->offset - Elapsed());
    timer_.start(std::max(left, milliseconds(0)));
  }
  QuitWhenDone();
}

void load_runner::SendOrWait(planned_job job) {
  const std::size_t entry = next_entry_;
  next_entry_ = (next_entry_ + 1) % options_.entries.size();
  if (!waiting_[entry].empty() || !TrySend(job, entry)) {
    waiting_[entry].push_back(std::move(job));
  }
}

bool load_runner::TrySend(const planned_job& job, std::size_t entry) {
  std::string key;
  if (!job.idempotent) {
    key = absl::StrCat(clock_.WallNow().time_since_epoch().count(), "-",
                       options_.run_name, "-", ++keys_);
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
    report_.OnSent(Elapsed() - job.offset);
    if (options_.on_sent) {
      options_.on_sent(job);
    }
  }
  return sent;
}

void load_runner::SendWaiting() {
  for (std::size_t entry = 0; entry < waiting_.size(); ++entry) {
    while (!waiting_[entry].empty() &&
           TrySend(waiting_[entry].front(), entry)) {
      waiting_[entry].pop_front();
    }
  }
}

void load_runner::OnReply(const planned_job& job, QNetworkReply& reply) {
  --in_flight_;
  int status =
      reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  // A connection that was cut inside the body is not an answer.
  if (reply.error() == QNetworkReply::RemoteHostClosedError ||
      reply.error() == QNetworkReply::OperationCanceledError) {
    status = 0;
  }
  job_answer_summary answer =
      ReadJobAnswer(status, reply.readAll(), job.tasks.size());
  job_sample sample;
  sample.team = job.team;
  sample.tasks = job.tasks.size();
  sample.ideal = IdealFinish(RunTimes(job), options_.fleet);
  sample.latency = Elapsed() - job.offset;
  sample.deadline = job.deadline;
  sample.whole = answer.whole;
  sample.effect = std::move(answer.effect);
  sample.code = std::move(answer.code);
  report_.OnEnd(sample);
  SendWaiting();
  QuitWhenDone();
}

void load_runner::QuitWhenDone() {
  const bool waits =
      std::any_of(waiting_.begin(), waiting_.end(),
                  [](const auto& queue) { return !queue.empty(); });
  if (!next_ && in_flight_ == 0 && !waits) {
    loop_.quit();
  }
}

microseconds load_runner::Elapsed() const {
  return std::chrono::duration_cast<microseconds>(clock_.Now() - start_);
}

}  // namespace jayrill
