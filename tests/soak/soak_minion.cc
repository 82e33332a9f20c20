#include "soak_minion.h"

#include <QDateTime>
#include <QJsonDocument>
#include <algorithm>
#include <utility>
#include <vector>

namespace jayrill::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{1500};
constexpr milliseconds kTickInterval{5};
constexpr milliseconds kMaxLease{1000};
constexpr milliseconds kStopTime{50};
constexpr milliseconds kHeartbeatTimeout{1000};
constexpr std::uint64_t kMinLatenessMs = 2000;
constexpr std::uint64_t kMaxLatenessMs = 12'000;
constexpr int kEndsPerReport = 500;
constexpr int kCpuMillis = 16'000;
constexpr int kMemoryMb = 65'536;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kOtherInstance = 421;

/// The spec of a task says how long it works: {"ms":1300}.
milliseconds WorkOf(const QString& spec) {
  constexpr qint64 kDefaultMs = 50;
  return milliseconds(QJsonDocument::fromJson(spec.toUtf8())
                          .object()
                          .value(u"ms")
                          .toInteger(kDefaultMs));
}

}  // namespace

soak_minion::soak_minion(minion_identity identity,
                         const clock& time,
                         run_log& runs,
                         random_source& random)
    : identity_(std::move(identity)), time_(time), log_(runs), random_(random) {
  QObject::connect(&tick_timer_, &QTimer::timeout, &tick_timer_,
                   [this] { Tick(); });
  QObject::connect(&heartbeat_timer_, &QTimer::timeout, &heartbeat_timer_,
                   [this] { Announce(); });
  Restart();
}

void soak_minion::Crash() {
  Settle();
  for (const auto& [name, run] : runs_) {
    log_.End(run.index, time_.Now(), run_end::kCrashed);
  }
  tick_timer_.stop();
  heartbeat_timer_.stop();
  holds_.clear();
  server_.reset();
  runs_.clear();
}

void soak_minion::Restart() {
  life_begin_ = time_.Now();
  born_ = QDateTime::currentMSecsSinceEpoch();
  sequence_ = 0;
  token_ = 0;
  last_end_ = 0;
  lease_end_ = life_begin_;
  newest_attempts_.clear();
  ends_.clear();
  server_ = std::make_unique<review::http_server>(
      [this](const review::http_message& request,
             const review::reply_function& reply) { Receive(request, reply); });
  tick_timer_.start(kTickInterval);
  heartbeat_timer_.start(kHeartbeatInterval);
  Announce();
}

void soak_minion::Announce() {
  const QJsonObject beat =
      WithClock({{QStringLiteral("service"), identity_.service},
                 {QStringLiteral("address"), server_->Address()},
                 {QStringLiteral("zone"), identity_.data_centre},
                 {QStringLiteral("version"), QStringLiteral("v1")},
                 {QStringLiteral("capacity"), 8},
                 {QStringLiteral("state"), QStringLiteral("ready")},
                 {QStringLiteral("cold_remaining_ms"), 0},
                 {QStringLiteral("headroom"),
                  QJsonObject{{QStringLiteral("cpu"), kCpuMillis},
                              {QStringLiteral("mem_mb"), kMemoryMb},
                              {QStringLiteral("gpu"), 0}}},
                 {QStringLiteral("labels"),
                  QJsonArray{QStringLiteral("a"), QStringLiteral("r1-1")}},
                 {QStringLiteral("sequence"), ++sequence_}});
  review::SendRequest(identity_.agent, "PUT",
                      "/v1/instances/" + identity_.id.toUtf8(),
                      {{"Host", identity_.agent.toUtf8()}},
                      QJsonDocument(beat).toJson(QJsonDocument::Compact),
                      static_cast<int>(kHeartbeatTimeout.count()),
                      [](const review::http_message&) {});
}

void soak_minion::Receive(const review::http_message& request,
                          const review::reply_function& reply) {
  const bool is_order = request.target.path() != u"/v1/hold";
  if (is_order && random_.Unit() < late_share_) {
    const milliseconds delay(kMinLatenessMs +
                             random_.Below(kMaxLatenessMs - kMinLatenessMs));
    // An order on its way is lost in a crash. That it might survive one is
    // covered by next_life_test.
    QTimer::singleShot(delay, &tick_timer_, [this, request, life = born_] {
      if (is_up() && life == born_) {
        Apply(request, [](int, const QJsonObject&) {});
      }
    });
    return;
  }
  if (is_order && random_.Unit() < lost_answer_share_) {
    Apply(request, [](int, const QJsonObject&) {});
    return;
  }
  Apply(request, reply);
}

void soak_minion::Apply(const review::http_message& request,
                        const review::reply_function& reply) {
  Settle();
  const QJsonObject body = request.Json();
  if (request.headers.value("x-target-instance", identity_.id.toUtf8()) !=
      identity_.id.toUtf8()) {
    reply(kOtherInstance, WithClock({}));
    return;
  }
  const qint64 token = body.value(u"fencing_token").toInteger();
  if (token < token_) {
    reply(kConflict,
          WithClock({{QStringLiteral("reason"), QStringLiteral("fence")}}));
    return;
  }
  token_ = token;
  const QString path = request.target.path();
  if (path == u"/v1/run-start") {
    Start(body, reply);
  } else if (path == u"/v1/run-stop") {
    Stop(body, reply);
  } else if (path == u"/v1/hold") {
    Hold(body, reply);
  } else {
    reply(kNotFound, WithClock({}));
  }
}

void soak_minion::Start(const QJsonObject& body,
                        const review::reply_function& reply) {
  const run_name name{body.value(u"task").toString(),
                      body.value(u"attempt").toInteger()};
  const auto refuse = [&](const char* reason) {
    reply(kConflict,
          WithClock({{QStringLiteral("reason"), QLatin1String(reason)}}));
  };
  if (runs_.contains(name)) {
    ExtendLease(body);
    reply(kOk, WithClock({}));
    return;
  }
  if (name.second <= newest_attempts_[name.first]) {
    ExtendLease(body);
    refuse("old");
    return;
  }
  if (body.value(u"deadline_ms").toInteger() <= LifeMs()) {
    refuse("late");
    return;
  }
  ExtendLease(body);
  newest_attempts_[name.first] = name.second;
  const steady_time now = time_.Now();
  active_run run;
  run.index = log_.Begin({name.first.toStdString(), name.second,
                          identity_.id.toStdString(), now, now});
  run.begun_at = now;
  run.done_at = now + WorkOf(body.value(u"spec").toString());
  runs_[name] = run;
  reply(kOk, WithClock({}));
}

void soak_minion::Stop(const QJsonObject& body,
                       const review::reply_function& reply) {
  const run_name name{body.value(u"task").toString(),
                      body.value(u"attempt").toInteger()};
  qint64& newest = newest_attempts_[name.first];
  newest = std::max(newest, name.second);
  if (const auto found = runs_.find(name); found != runs_.end()) {
    found->second.stopped_at =
        std::min(found->second.stopped_at, time_.Now() + kStopTime);
  }
  reply(kOk, WithClock({}));
}

void soak_minion::Hold(const QJsonObject& body,
                       const review::reply_function& reply) {
  ExtendLease(body);
  const qint64 cursor = body.value(u"ack_cursor").toInteger();
  std::erase_if(ends_,
                [cursor](const auto& end) { return end.first <= cursor; });
  const milliseconds wait(body.value(u"wait_ms").toInteger());
  if (wait.count() > 0 && ends_.empty()) {
    holds_.push_back({time_.Now() + wait, reply});
  } else {
    reply(kOk, Report());
  }
}

void soak_minion::ExtendLease(const QJsonObject& body) {
  if (!body.contains(u"deadline_ms")) {
    return;
  }
  const steady_time wanted =
      life_begin_ + milliseconds(body.value(u"deadline_ms").toInteger());
  lease_end_ = std::max(lease_end_, std::min(wanted, time_.Now() + kMaxLease));
}

void soak_minion::Settle() {
  const steady_time now = time_.Now();
  struct due_end {
    steady_time at;
    run_name name;
    run_end how;
  };
  std::vector<due_end> due;
  for (const auto& [name, run] : runs_) {
    const steady_time end = std::min({run.done_at, run.stopped_at, lease_end_});
    if (end <= now) {
      due.push_back({end, name,
                     end == run.done_at      ? run_end::kDone
                     : end == run.stopped_at ? run_end::kStopped
                                             : run_end::kLapsed});
    }
  }
  for (const due_end& item : due) {
    End(item.name, item.at, item.how);
  }
}

void soak_minion::End(const run_name& name, steady_time end, run_end how) {
  log_.End(runs_.at(name).index, end, how);
  runs_.erase(name);
  const qint64 number = ++last_end_;
  ends_[number] = QJsonArray{number, name.first, name.second,
                             QLatin1String(ToString(how)), QString()};
}

void soak_minion::Tick() {
  Settle();
  AnswerHolds();
}

void soak_minion::AnswerHolds() {
  const steady_time now = time_.Now();
  holds_.remove_if([&](const waiting_hold& hold) {
    if (ends_.empty() && now < hold.until) {
      return false;
    }
    hold.reply(kOk, Report());
    return true;
  });
}

qint64 soak_minion::LifeMs() const {
  return std::chrono::duration_cast<milliseconds>(time_.Now() - life_begin_)
      .count();
}

QJsonObject soak_minion::WithClock(QJsonObject json) const {
  json[QStringLiteral("clock_ms")] = LifeMs();
  json[QStringLiteral("born")] = born_;
  return json;
}

QJsonObject soak_minion::Report() const {
  constexpr int kMaxPercent = 99;
  const steady_time now = time_.Now();
  QJsonArray running;
  for (const auto& [name, run] : runs_) {
    const double share =
        std::chrono::duration<double>(now - run.begun_at) /
        std::chrono::duration<double>(run.done_at - run.begun_at);
    running.append(
        QJsonArray{name.first, name.second, QString(),
                   std::min(kMaxPercent, static_cast<int>(100 * share))});
  }
  QJsonArray finished;
  for (const auto& [number, end] : ends_) {
    if (finished.size() < kEndsPerReport) {
      finished.append(end);
    }
  }
  return WithClock({{QStringLiteral("running"), running},
                    {QStringLiteral("finished"), finished}});
}

}  // namespace jayrill::soak
