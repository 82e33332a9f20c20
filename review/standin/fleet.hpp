#pragma once

// A small deployment: the store, entries and agents as separate processes that
// are started with the commands and settings of deploy/system.toml, and one
// minion beside each agent.

#include <sys/prctl.h>
#include <sys/types.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>
#include <QProcessEnvironment>
#include <QTcpServer>
#include <QTemporaryDir>
#include <QTimer>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "http.hpp"
#include "minion.hpp"
#include "record.hpp"
#include "store.hpp"

namespace review {

constexpr char kHost[] = "desk.example";
constexpr char kPrefix[] = "/quotes/";
constexpr int kRetransmitMs = 1300;  // bounds.retransmit_ms of the site.

// Runs the event loop for `ms`, or until `done` returns true.
inline bool Wait(int ms, const std::function<bool()>& done = {}) {
  QElapsedTimer timer;
  timer.start();
  while (timer.elapsed() < ms) {
    if (done && done()) {
      return true;
    }
    QEventLoop loop;
    QTimer::singleShot(5, &loop, &QEventLoop::quit);
    loop.exec();
  }
  return done && done();
}

// \returns an address with a free port that was not returned before. The ports
// are below those that the system chooses for connections.
inline QString FreeAddress() {
  static std::set<int> given;
  while (true) {
    const int port = QRandomGenerator::global()->bounded(12'000, 32'000);
    QTcpServer probe;
    if (!given.contains(port) &&
        probe.listen(QHostAddress::LocalHost, static_cast<quint16>(port))) {
      given.insert(port);
      return QStringLiteral("127.0.0.1:%1").arg(port);
    }
  }
}

// A process of the project. It is killed with this object, or with this
// program.
class role_process {
 public:
  role_process(const QString& role,
               const std::map<QString, QString>& settings,
               const QString& log_path) {
    QProcessEnvironment environment;
    for (const char* name : {"PATH", "HOME", "LANG"}) {
      environment.insert(QLatin1String(name), qEnvironmentVariable(name));
    }
    for (const auto& [name, value] : settings) {
      environment.insert(name, value);
    }
    process_.setProcessEnvironment(environment);
    process_.setProcessChannelMode(QProcess::MergedChannels);
    process_.setStandardOutputFile(log_path);
    process_.setChildProcessModifier(
        [] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
    process_.start(QStringLiteral("target/jayrill"), {role});
  }
  ~role_process() {
    Send(SIGCONT);
    process_.kill();
    process_.waitForFinished(10'000);
  }

  bool IsAlive() { return process_.state() != QProcess::NotRunning; }
  bool HasStarted() { return process_.waitForStarted(5000); }
  void Send(int signal) {
    if (process_.processId() > 0) {
      ::kill(static_cast<pid_t>(process_.processId()), signal);
    }
  }

 private:
  QProcess process_;
};

struct entry {
  QString name;
  QString http;
  QString health;
  QString rpc;
  std::unique_ptr<role_process> process;
};

struct agent {
  QString name;
  QString address;
  std::unique_ptr<role_process> process;
};

// A best-effort job of one phase.
struct job {
  QString id;
  QString spec;
  int tasks = 1;
  int cpu_millis = 500;
  int estimate_ms = 50;
  int deadline_ms = 1500;
};

inline QString NewJobId() {
  return QStringLiteral("%1").arg(QRandomGenerator::global()->generate64(), 16,
                                  16, QLatin1Char('0'));
}

inline QString WorkSpec(int ms) {
  return QStringLiteral("{\"ms\":%1}").arg(ms);
}

class fleet {
 public:
  fleet(record& log, int entry_count, int agent_count) : log_(log) {
    const QJsonObject route{
        {QStringLiteral("name"), QStringLiteral("q1")},
        {QStringLiteral("host"), QLatin1String(kHost)},
        {QStringLiteral("prefix"), QLatin1String(kPrefix)},
        {QStringLiteral("service"), QStringLiteral("quotes")},
        {QStringLiteral("priority"), 0},
        {QStringLiteral("max_attempts"), 3},
        {QStringLiteral("slack_factor"), 3},
        {QStringLiteral("target_latency_ms"), 1000}};
    store_.Put(
        QStringLiteral("op/config"),
        QJsonDocument(
            QJsonObject{{QStringLiteral("version"), 3},
                        {QStringLiteral("routes"), QJsonArray{route}},
                        {QStringLiteral("services"),
                         QJsonArray{QJsonObject{
                             {QStringLiteral("name"), QStringLiteral("quotes")},
                             {QStringLiteral("enforces_capacity"), true}}}},
                        {QStringLiteral("limits"), QJsonObject{}}})
            .toJson(QJsonDocument::Compact));
    for (int i = 0; i < entry_count; ++i) {
      StartEntry(i);
    }
    for (int i = 0; i < agent_count; ++i) {
      StartAgent(i);
    }
  }

  // \returns false when the deployment is not ready within 20 s.
  bool StartMinions() {
    Wait(500);
    for (const agent& beside : agents_) {
      minion_options options;
      options.id = QStringLiteral("i-%1").arg(minions_.size() + 1);
      options.agent = beside.address;
      const std::size_t index = minions_.size();
      minions_.push_back(std::make_unique<minion>(
          options, log_, [this, index](const run_id& run, const QString& spec) {
            OnBegin(index, run, spec);
          }));
    }
    for (const entry& node : entries_) {
      if (!WaitUntilReady(node)) {
        log_.Line(node.name + QStringLiteral(" is not ready"));
        return false;
      }
    }
    Wait(2000);
    return true;
  }

  entry& Entry(std::size_t index) { return entries_.at(index); }
  agent& Agent(std::size_t index) { return agents_.at(index); }
  minion& Minion(std::size_t index) { return *minions_.at(index); }
  std::size_t entry_count() const { return entries_.size(); }
  std::size_t minion_count() const { return minions_.size(); }
  record& log() { return log_; }

  // Start a process again that has ended, at the same addresses.
  void RestartEntry(std::size_t index) { Launch(entries_.at(index)); }
  void RestartAgent(std::size_t index) { Launch(agents_.at(index)); }

  // How often a run has begun while another run of its task was at work.
  int overlaps() const { return overlaps_; }

  // Called with each run that begins.
  void OnRun(std::function<void(const run_id&, const QString&)> listener) {
    on_run_ = std::move(listener);
  }

  // \returns true when a task of job `id` is at work.
  bool IsAtWork(const QString& id) const {
    for (const auto& [run, where] : begun_) {
      if (run.first.startsWith(id + u'.') && minions_[where]->IsRunning(run)) {
        return true;
      }
    }
    return false;
  }

  // Sends `item` once to entry `index`; `done` gets the status, 0 without an
  // answer within the deadline of the job.
  void Post(const job& item, std::size_t index, std::function<void(int)> done) {
    const QJsonObject phase{{QStringLiteral("count"), item.tasks},
                            {QStringLiteral("cpu"), item.cpu_millis},
                            {QStringLiteral("mem_mb"), 64},
                            {QStringLiteral("estimate_ms"), item.estimate_ms}};
    const QJsonObject body{{QStringLiteral("spec"), item.spec},
                           {QStringLiteral("best_effort"), true},
                           {QStringLiteral("phases"), QJsonArray{phase}}};
    const QString name = entries_.at(index).name;
    log_.Line(QStringLiteral("client sends job ") + item.id +
              QStringLiteral(" to ") + name);
    SendRequest(entries_.at(index).http, "POST", kPrefix + item.id.toUtf8(),
                {{"Host", kHost},
                 {"X-Deadline-Ms", QByteArray::number(item.deadline_ms)}},
                QJsonDocument(body).toJson(QJsonDocument::Compact),
                item.deadline_ms,
                [this, id = item.id, name,
                 done = std::move(done)](const http_message& response) {
                  log_.Line(QStringLiteral("client gets ") +
                            (response.status == 0
                                 ? QStringLiteral("no answer")
                                 : QString::number(response.status) + u' ' +
                                       QString::fromUtf8(response.body)) +
                            QStringLiteral(" for job ") + id +
                            QStringLiteral(" from ") + name);
                  done(response.status);
                });
  }

  // Sends `item` to entry `first`. Without an answer, or after 502 or 504, it
  // is sent once more to entry `second`, retransmit_ms later.
  void Submit(const job& item,
              std::size_t first,
              std::size_t second,
              const std::function<void(int)>& done) {
    Post(item, first, [this, item, second, done](int status) {
      if (status != 0 && status != 502 && status != 504) {
        done(status);
        return;
      }
      QTimer::singleShot(kRetransmitMs, &context_, [this, item, second, done] {
        Post(item, second, done);
      });
    });
  }

  // Runs a few short jobs at each entry, up to three times.
  // \returns false when they aren't all completed in one of the tries.
  bool WarmUp() {
    for (int tries = 0; tries < 3; ++tries) {
      if (RunShortJobs()) {
        return true;
      }
      Wait(1000);
    }
    return false;
  }

  bool AllAlive() {
    for (entry& node : entries_) {
      if (!node.process->IsAlive()) {
        return false;
      }
    }
    for (agent& node : agents_) {
      if (!node.process->IsAlive()) {
        return false;
      }
    }
    return true;
  }

 private:
  bool RunShortJobs() {
    struct counts {
      int sent = 0;
      int ended = 0;
      int completed = 0;
    };
    const auto jobs = std::make_shared<counts>();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      for (int k = 0; k < 6; ++k) {
        ++jobs->sent;
        Post({NewJobId(), WorkSpec(60), 2, 500, 60, 3000}, i,
             [jobs](int status) {
               ++jobs->ended;
               jobs->completed += status == 200 ? 1 : 0;
             });
      }
    }
    Wait(4000, [&] { return jobs->ended == jobs->sent; });
    return jobs->completed == jobs->sent;
  }

  void Launch(entry& node) {
    node.process = std::make_unique<role_process>(
        QStringLiteral("entry"),
        std::map<QString, QString>{
            {QStringLiteral("JAYRILL_PLATFORM"), QStringLiteral("true")},
            {QStringLiteral("JAYRILL_ID"), node.name},
            {QStringLiteral("JAYRILL_DATA_CENTRE"), QStringLiteral("north-a")},
            {QStringLiteral("JAYRILL_HTTP_LISTEN"), node.http},
            {QStringLiteral("JAYRILL_HEALTH_LISTEN"), node.health},
            {QStringLiteral("JAYRILL_RPC_LISTEN"), node.rpc},
            {QStringLiteral("JAYRILL_STORE_ENDPOINTS"), store_.Address()},
            {QStringLiteral("JAYRILL_REPEAT_AFTER_MS"),
             QString::number(kRetransmitMs)},
            {QStringLiteral("JAYRILL_PROCESSOR_CORES"), QStringLiteral("0.25")},
            {QStringLiteral("JAYRILL_SLOW_START_MS"), QStringLiteral("0")},
            {QStringLiteral("JAYRILL_STOP_DELAY_MS"), QStringLiteral("2000")}},
        logs_.filePath(node.name));
  }

  void StartEntry(int index) {
    entry node;
    node.name = QStringLiteral("edge-%1").arg(index + 1);
    node.http = FreeAddress();
    node.health = FreeAddress();
    node.rpc = FreeAddress();
    Launch(node);
    entries_.push_back(std::move(node));
  }

  void Launch(agent& node) {
    QStringList seeds;
    for (const entry& node : entries_) {
      seeds.append(node.rpc);
    }
    node.process = std::make_unique<role_process>(
        QStringLiteral("agent"),
        std::map<QString, QString>{
            {QStringLiteral("JAYRILL_PLATFORM"), QStringLiteral("true")},
            {QStringLiteral("JAYRILL_ID"), node.name},
            {QStringLiteral("JAYRILL_WORKER"), node.name},
            {QStringLiteral("JAYRILL_DATA_CENTRE"), QStringLiteral("north-a")},
            {QStringLiteral("JAYRILL_ANNOUNCE_LISTEN"), node.address},
            {QStringLiteral("JAYRILL_ENTRIES"), seeds.join(u',')},
            {QStringLiteral("JAYRILL_REPEAT_AFTER_MS"),
             QString::number(kRetransmitMs)},
            {QStringLiteral("JAYRILL_LEASE_MS"), QStringLiteral("1000")},
            {QStringLiteral("JAYRILL_STOP_LIMIT_MS"), QStringLiteral("5000")},
            {QStringLiteral("JAYRILL_STATUS_INTERVAL_MS"),
             QStringLiteral("5")}},
        logs_.filePath(node.name));
  }

  void StartAgent(int index) {
    agent node;
    node.name = QStringLiteral("side-%1").arg(index + 1);
    node.address = FreeAddress();
    Launch(node);
    agents_.push_back(std::move(node));
  }

  bool WaitUntilReady(const entry& node) {
    bool ready = false;
    bool asking = false;
    return Wait(20'000, [&] {
      if (!asking && !ready) {
        asking = true;
        SendRequest(node.health, "GET", "/v1/ready", {{"Host", "x"}}, {}, 1000,
                    [&](const http_message& response) {
                      asking = false;
                      ready = response.status == 200;
                    });
      }
      return ready && !asking;
    });
  }

  void OnBegin(std::size_t where, const run_id& run, const QString& spec) {
    for (const auto& [other, place] : begun_) {
      const bool is_same_task = other.first == run.first;
      const bool is_same_run = other == run && place == where;
      if (is_same_task && !is_same_run && minions_[place]->IsRunning(other)) {
        ++overlaps_;
        log_.Line(QStringLiteral("TWICE: ") + minions_[where]->id() +
                  QStringLiteral(" begins attempt ") +
                  QString::number(run.second) + QStringLiteral(" of ") +
                  run.first + QStringLiteral(" while attempt ") +
                  QString::number(other.second) + QStringLiteral(" runs on ") +
                  minions_[place]->id());
      }
    }
    begun_.emplace(run, where);
    if (on_run_) {
      on_run_(run, spec);
    }
  }

  record& log_;
  QTemporaryDir logs_;
  store store_;
  std::vector<entry> entries_;
  std::vector<agent> agents_;
  std::vector<std::unique_ptr<minion>> minions_;
  // All runs that have begun, and the minion of each.
  std::multimap<run_id, std::size_t> begun_;
  std::function<void(const run_id&, const QString&)> on_run_;
  int overlaps_ = 0;
  QObject context_;
};

}  // namespace review
