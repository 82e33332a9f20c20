#pragma once

// A stand-in for a minion: it registers at the agent beside it, runs tasks
// under leases and lists their ends, as the users' pages describe.

#include <QDateTime>
#include <QElapsedTimer>
#include <QJsonArray>
#include <QJsonObject>
#include <QRandomGenerator>
#include <QTimer>
#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <utility>

#include "http.hpp"
#include "record.hpp"

namespace review {

// A run of a task: its name and its attempt.
using run_id = std::pair<QString, qint64>;

struct minion_options {
  QString id;
  QString agent;  // Where it sends its heartbeats.
  QString service = QStringLiteral("quotes");
  QString zone = QStringLiteral("north-a");
  int cpu_millis = 16'000;
  int memory_mb = 65'536;
};

class minion {
 public:
  // Called with a run that begins, and with its spec.
  using begin_function = std::function<void(const run_id&, const QString&)>;

  minion(minion_options options, record& log, begin_function on_begin)
      : options_(std::move(options)),
        log_(log),
        on_begin_(std::move(on_begin)),
        server_(
            [this](const http_message& request, const reply_function& reply) {
              Receive(request, reply);
            }) {
    clock_.start();
    born_ = QDateTime::currentMSecsSinceEpoch();
    QObject::connect(&tick_, &QTimer::timeout, &tick_, [this] { Tick(); });
    tick_.start(5);
    QObject::connect(&beat_, &QTimer::timeout, &beat_, [this] { Beat(); });
    beat_.start(kHeartbeatMs);
    Beat();
  }

  const QString& id() const { return options_.id; }
  bool IsRunning(const run_id& run) const { return runs_.contains(run); }

  // While above 0, this share of the orders to start or stop a run gets no
  // answer and is carried out 2 to 12 s later.
  void SetLateShare(double share) { late_share_ = share; }

 private:
  static constexpr int kHeartbeatMs = 1500;
  static constexpr qint64 kMaxHoldMs = 1000;
  static constexpr int kStopMs = 30;  // The pages allow 50.
  static constexpr int kEndsPerReport = 500;

  struct active_run {
    qint64 begun_at = 0;
    qint64 ends_at = 0;
  };
  struct waiting_hold {
    qint64 until = 0;
    reply_function reply;
  };

  void Beat() {
    const QJsonObject beat{
        {QStringLiteral("service"), options_.service},
        {QStringLiteral("address"), server_.Address()},
        {QStringLiteral("zone"), options_.zone},
        {QStringLiteral("version"), QStringLiteral("v1")},
        {QStringLiteral("capacity"), 8},
        {QStringLiteral("state"), QStringLiteral("ready")},
        {QStringLiteral("cold_remaining_ms"), 0},
        {QStringLiteral("headroom"),
         QJsonObject{{QStringLiteral("cpu"), options_.cpu_millis},
                     {QStringLiteral("mem_mb"), options_.memory_mb},
                     {QStringLiteral("gpu"), 0}}},
        {QStringLiteral("labels"),
         QJsonArray{QStringLiteral("a"), QStringLiteral("r1-1")}},
        {QStringLiteral("clock_ms"), clock_.elapsed()},
        {QStringLiteral("sequence"), ++sequence_},
        {QStringLiteral("born"), born_}};
    SendRequest(options_.agent, "PUT", "/v1/instances/" + options_.id.toUtf8(),
                {{"Host", options_.agent.toUtf8()}},
                QJsonDocument(beat).toJson(QJsonDocument::Compact), 1000,
                [](const http_message&) {});
  }

  void Receive(const http_message& request, const reply_function& reply) {
    const QString path = request.target.path();
    const bool is_order = path != u"/v1/hold";
    if (is_order &&
        QRandomGenerator::global()->generateDouble() < late_share_) {
      const int delay_ms = QRandomGenerator::global()->bounded(2000, 12'000);
      log_.Line(options_.id + QStringLiteral(" leaves unanswered, late by ") +
                QString::number(delay_ms) + QStringLiteral(" ms: ") + path +
                u' ' + QString::fromUtf8(request.body));
      QTimer::singleShot(delay_ms, &tick_, [this, request] {
        Apply(request, [](int, const QJsonObject&) {});
      });
      return;
    }
    Apply(request, reply);
  }

  void Apply(const http_message& request, const reply_function& reply) {
    const QJsonObject body = request.Json();
    if (request.headers.value("x-target-instance", options_.id.toUtf8()) !=
        options_.id.toUtf8()) {
      reply(421, WithClock({}));
      return;
    }
    const qint64 token = body.value(u"fencing_token").toInteger();
    if (token < token_) {
      reply(409,
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
      reply(404, WithClock({}));
    }
  }

  void Start(const QJsonObject& body, const reply_function& reply) {
    const run_id run{body.value(u"task").toString(),
                     body.value(u"attempt").toInteger()};
    const auto refuse = [&](const char* reason) {
      reply(409,
            WithClock({{QStringLiteral("reason"), QLatin1String(reason)}}));
    };
    if (runs_.contains(run)) {
      ExtendLease(body);
      reply(200, WithClock({}));
    } else if (run.second <= newest_attempt_[run.first]) {
      ExtendLease(body);
      refuse("old");
    } else if (body.value(u"deadline_ms").toInteger() <= clock_.elapsed()) {
      refuse("late");
    } else {
      ExtendLease(body);
      newest_attempt_[run.first] = run.second;
      const QString spec = body.value(u"spec").toString();
      const qint64 now = clock_.elapsed();
      runs_[run] = {now, now + WorkMs(spec)};
      log_.Line(options_.id + QStringLiteral(" runs ") + run.first +
                QStringLiteral(" attempt ") + QString::number(run.second));
      on_begin_(run, spec);
      reply(200, WithClock({}));
    }
  }

  // The spec of a task says how long it works: {"ms":1300}.
  static qint64 WorkMs(const QString& spec) {
    return QJsonDocument::fromJson(spec.toUtf8())
        .object()
        .value(u"ms")
        .toInteger(50);
  }

  void Stop(const QJsonObject& body, const reply_function& reply) {
    const run_id run{body.value(u"task").toString(),
                     body.value(u"attempt").toInteger()};
    qint64& newest = newest_attempt_[run.first];
    newest = std::max(newest, run.second);
    QTimer::singleShot(kStopMs, &tick_, [this, run] {
      if (runs_.contains(run)) {
        End(run, QStringLiteral("stopped"));
      }
    });
    reply(200, WithClock({}));
  }

  void Hold(const QJsonObject& body, const reply_function& reply) {
    ExtendLease(body);
    const qint64 cursor = body.value(u"ack_cursor").toInteger();
    std::erase_if(ends_,
                  [cursor](const auto& end) { return end.first <= cursor; });
    const qint64 wait = body.value(u"wait_ms").toInteger();
    if (wait > 0 && ends_.empty()) {
      holds_.push_back({clock_.elapsed() + wait, reply});
    } else {
      reply(200, Report());
    }
  }

  void ExtendLease(const QJsonObject& body) {
    if (body.contains(u"deadline_ms")) {
      lease_until_ = std::max(lease_until_,
                              std::min(body.value(u"deadline_ms").toInteger(),
                                       clock_.elapsed() + kMaxHoldMs));
    }
  }

  QJsonObject WithClock(QJsonObject json) const {
    json[QStringLiteral("clock_ms")] = clock_.elapsed();
    json[QStringLiteral("born")] = born_;
    return json;
  }

  QJsonObject Report() const {
    const qint64 now = clock_.elapsed();
    QJsonArray running;
    for (const auto& [run, state] : runs_) {
      const qint64 percent =
          100 * (now - state.begun_at) /
          std::max<qint64>(state.ends_at - state.begun_at, 1);
      running.append(QJsonArray{run.first, run.second, QString(),
                                std::min<qint64>(percent, 99)});
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

  void End(const run_id& run, const QString& how) {
    runs_.erase(run);
    const qint64 number = ++last_end_;
    ends_[number] = QJsonArray{number, run.first, run.second, how, QString()};
    log_.Line(options_.id + QStringLiteral(" ended ") + run.first +
              QStringLiteral(" attempt ") + QString::number(run.second) + u' ' +
              how);
  }

  void Tick() {
    const qint64 now = clock_.elapsed();
    std::list<std::pair<run_id, QString>> ended;
    for (const auto& [run, state] : runs_) {
      if (now >= state.ends_at) {
        ended.emplace_back(run, QStringLiteral("done"));
      } else if (now >= lease_until_) {
        ended.emplace_back(run, QStringLiteral("lapsed"));
      }
    }
    for (const auto& [run, how] : ended) {
      End(run, how);
    }
    holds_.remove_if([&](const waiting_hold& hold) {
      if (ends_.empty() && now < hold.until) {
        return false;
      }
      hold.reply(200, Report());
      return true;
    });
  }

  minion_options options_;
  record& log_;
  begin_function on_begin_;
  QElapsedTimer clock_;
  qint64 born_ = 0;
  qint64 sequence_ = 0;
  qint64 token_ = 0;
  qint64 lease_until_ = 0;
  qint64 last_end_ = 0;
  double late_share_ = 0;
  std::map<run_id, active_run> runs_;
  std::map<qint64, QJsonArray> ends_;
  std::map<QString, qint64> newest_attempt_;
  std::list<waiting_hold> holds_;
  QTimer tick_;
  QTimer beat_;
  http_server server_;
};

}  // namespace review
