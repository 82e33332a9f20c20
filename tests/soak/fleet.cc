#include "fleet.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QRandomGenerator>
#include <QTcpServer>
#include <algorithm>
#include <map>
#include <utility>

namespace jayrill::soak {

namespace {

using std::chrono::milliseconds;

/// A kernel waits this long for the answer to the first packet of a connection.
constexpr milliseconds kConnectRetry{1000};

constexpr char kService[] = "quotes";

/// Below the directory of the logs.
constexpr char kSettingsFile[] = "/settings.json";

using settings_map = std::map<QString, QString>;

/// \returns the settings that deploy/system.toml gives to both roles.
settings_map CommonSettings(const QString& name, const QString& data_centre) {
  return {{QStringLiteral("JAYRILL_PLATFORM"), QStringLiteral("true")},
          {QStringLiteral("JAYRILL_ID"), name},
          {QStringLiteral("JAYRILL_DATA_CENTRE"), data_centre},
          {QStringLiteral("JAYRILL_REPEAT_AFTER_MS"),
           QString::number(kRepeatAfter.count())}};
}

QJsonObject Config(int version) {
  constexpr int kTargetLatencyMs = 1000;
  const QJsonObject route{
      {QStringLiteral("name"), QStringLiteral("q1")},
      {QStringLiteral("host"), QLatin1String(kHost)},
      {QStringLiteral("prefix"), QLatin1String(kPrefix)},
      {QStringLiteral("service"), QLatin1String(kService)},
      {QStringLiteral("priority"), 0},
      {QStringLiteral("max_attempts"), 3},
      {QStringLiteral("slack_factor"), 3},
      {QStringLiteral("target_latency_ms"), kTargetLatencyMs}};
  const QJsonObject service{{QStringLiteral("name"), QLatin1String(kService)},
                            {QStringLiteral("enforces_capacity"), true}};
  return {{QStringLiteral("version"), version},
          {QStringLiteral("routes"), QJsonArray{route}},
          {QStringLiteral("services"), QJsonArray{service}},
          {QStringLiteral("limits"), QJsonObject{}}};
}

/// \returns a loopback address that no other soak uses at the same time, so
/// that soaks beside each other do not choose the same ports.
QString OwnLoopbackHost() {
  constexpr qint64 kValues = 250;
  const qint64 pid = QCoreApplication::applicationPid();
  return QStringLiteral("127.%1.%2.1")
      .arg(1 + pid / kValues % kValues)
      .arg(1 + pid % kValues);
}

QString EvacuationKey(const QString& data_centre) {
  return QStringLiteral("op/evacuate/") + data_centre;
}

}  // namespace

bool RunEventLoop(milliseconds duration, const std::function<bool()>& done) {
  constexpr milliseconds kCheckInterval{5};
  const system_clock time;
  const steady_time end = time.Now() + duration;
  while (time.Now() < end) {
    if (done && done()) {
      return true;
    }
    QEventLoop loop;
    QTimer::singleShot(kCheckInterval, &loop, &QEventLoop::quit);
    loop.exec();
  }
  return done && done();
}

fleet::fleet(const fleet_size& size,
             const QString& program,
             const QString& log_directory,
             const clock& time,
             run_log& runs,
             random_source& random)
    : log_directory_(log_directory.isEmpty() ? temporary_.path()
                                             : log_directory),
      time_(time) {
  for (int i = 0; i < size.data_centres; ++i) {
    data_centres_.push_back(QStringLiteral("dc-%1").arg(i + 1));
  }
  ChangeConfig();
  store_link_ = std::make_unique<link>(store_.Address());
  WriteSettingsFile();
  for (int i = 0; i < size.entries; ++i) {
    AddEntry(i, program);
  }
  for (int i = 0; i < size.agents; ++i) {
    AddAgent(i, program, time, runs, random);
  }
}

QString fleet::FreeAddress() {
  // Below the ports that the system chooses for outgoing connections.
  constexpr int kFirstPort = 12'000;
  constexpr int kEndPort = 32'000;
  const QString host = OwnLoopbackHost();
  while (true) {
    const int port = QRandomGenerator::global()->bounded(kFirstPort, kEndPort);
    QTcpServer probe;
    if (!given_ports_.contains(port) &&
        probe.listen(QHostAddress(host), static_cast<quint16>(port))) {
      given_ports_.insert(port);
      return QStringLiteral("%1:%2").arg(host).arg(port);
    }
  }
}

void fleet::WriteSettingsFile() {
  const QJsonObject store{{QStringLiteral("address"), store_link_->Address()}};
  QFile file(log_directory_ + QLatin1String(kSettingsFile));
  if (file.open(QIODevice::WriteOnly)) {
    file.write(QJsonDocument(QJsonObject{{QStringLiteral("platform"), store}})
                   .toJson());
  }
}

void fleet::AddEntry(int number, const QString& program) {
  entry_node node;
  node.name = QStringLiteral("entry-%1").arg(number + 1);
  node.data_centre =
      data_centres_[static_cast<std::size_t>(number) % data_centres_.size()];
  node.http = FreeAddress();
  node.readiness = FreeAddress();
  const QString rpc = FreeAddress();
  node.agents_link = std::make_unique<link>(rpc);
  node.callers_link = std::make_unique<link>(
      node.http, link_options{kCallerRoundTrip, kConnectRetry});
  node.store_link = std::make_unique<link>(store_link_->Address());
  settings_map settings = CommonSettings(node.name, node.data_centre);
  settings.insert({
      {QStringLiteral("JAYRILL_HTTP_LISTEN"), node.http},
      {QStringLiteral("JAYRILL_HEALTH_LISTEN"), node.readiness},
      {QStringLiteral("JAYRILL_RPC_LISTEN"), rpc},
      {QStringLiteral("JAYRILL_RPC_ADVERTISE"), node.agents_link->Address()},
      {QStringLiteral("JAYRILL_STORE_ENDPOINTS"), node.store_link->Address()},
      {QStringLiteral("JAYRILL_PROCESSOR_CORES"), QStringLiteral("0.25")},
      {QStringLiteral("JAYRILL_SLOW_START_MS"), QStringLiteral("0")},
      {QStringLiteral("JAYRILL_STOP_DELAY_MS"), QStringLiteral("2000")},
  });
  node.process = std::make_unique<role_process>(
      role_command{program, QStringLiteral("entry"), std::move(settings),
                   log_directory_ + u'/' + node.name});
  node.process->Start();
  entries_.push_back(std::move(node));
}

void fleet::AddAgent(int number,
                     const QString& program,
                     const clock& time,
                     run_log& runs,
                     random_source& random) {
  agent_node node;
  node.name = QStringLiteral("side-%1").arg(number + 1);
  node.data_centre =
      data_centres_[static_cast<std::size_t>(number) % data_centres_.size()];
  const QString address = FreeAddress();
  QStringList seeds;
  for (const entry_node& entry : entries_) {
    seeds.append(entry.agents_link->Address());
  }
  settings_map settings = CommonSettings(node.name, node.data_centre);
  settings.insert({
      {QStringLiteral("JAYRILL_CONFIG"),
       log_directory_ + QLatin1String(kSettingsFile)},
      {QStringLiteral("JAYRILL_WORKER"), node.name},
      {QStringLiteral("JAYRILL_ANNOUNCE_LISTEN"), address},
      {QStringLiteral("JAYRILL_ENTRIES"), seeds.join(u',')},
      {QStringLiteral("JAYRILL_LEASE_MS"), QStringLiteral("1000")},
      {QStringLiteral("JAYRILL_STOP_LIMIT_MS"), QStringLiteral("5000")},
      {QStringLiteral("JAYRILL_STATUS_INTERVAL_MS"), QStringLiteral("5")},
  });
  node.process = std::make_unique<role_process>(
      role_command{program, QStringLiteral("agent"), std::move(settings),
                   log_directory_ + u'/' + node.name});
  node.process->Start();
  node.minion = std::make_unique<soak_minion>(
      minion_identity{QStringLiteral("i-%1").arg(number + 1), node.data_centre,
                      address, QLatin1String(kService)},
      time, runs, random);
  agents_.push_back(std::move(node));
}

bool fleet::WaitUntilReady() {
  constexpr milliseconds kTimeLimit{30'000};
  constexpr int kAskTimeoutMs = 1000;
  constexpr int kOk = 200;
  struct readiness {
    bool is_asked = false;
    bool is_ready = false;
  };
  const auto states = std::make_shared<std::vector<readiness>>(entries_.size());
  const bool ready = RunEventLoop(kTimeLimit, [&] {
    bool all_ready = true;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      readiness& state = states->at(i);
      all_ready = all_ready && state.is_ready;
      if (state.is_asked || state.is_ready) {
        continue;
      }
      state.is_asked = true;
      review::SendRequest(entries_[i].readiness, "GET", "/v1/ready",
                          {{"Host", "x"}}, {}, kAskTimeoutMs,
                          [states, i](const review::http_message& response) {
                            states->at(i) = {false, response.status == kOk};
                          });
    }
    return all_ready;
  });
  // Minions announce themselves every 1.5 s.
  RunEventLoop(milliseconds(2000));
  return ready;
}

void fleet::ChangeConfig() {
  store_.Put(
      QStringLiteral("op/config"),
      QJsonDocument(Config(++config_version_)).toJson(QJsonDocument::Compact));
}

void fleet::TakeOut(const QString& data_centre) {
  store_.Put(EvacuationKey(data_centre), "{}");
  const bool is_out = std::any_of(
      out_times_.begin(), out_times_.end(), [&](const out_time& one) {
        return one.data_centre == data_centre && !one.end;
      });
  if (!is_out) {
    out_times_.push_back({data_centre, time_.Now(), std::nullopt});
  }
}

void fleet::TakeIn(const QString& data_centre) {
  store_.Delete(EvacuationKey(data_centre));
  for (out_time& one : out_times_) {
    if (one.data_centre == data_centre && !one.end) {
      one.end = time_.Now();
    }
  }
}

std::vector<run_record> fleet::LateRuns(const run_log& runs) const {
  std::map<std::string, QString> data_centres;  // By minion.
  for (const agent_node& agent : agents_) {
    data_centres[agent.minion->id().toStdString()] = agent.data_centre;
  }
  std::vector<run_record> late;
  for (const run_record& run : runs.runs()) {
    const QString& data_centre = data_centres[run.minion];
    const bool is_late = std::any_of(
        out_times_.begin(), out_times_.end(), [&](const out_time& one) {
          return one.data_centre == data_centre &&
                 run.begin > one.begin + kOutLimit &&
                 (!one.end || run.begin < *one.end);
        });
    if (is_late) {
      late.push_back(run);
    }
  }
  return late;
}

int fleet::UnexpectedEnds() const {
  int ends = 0;
  for (const entry_node& entry : entries_) {
    ends += entry.process->unexpected_ends();
  }
  for (const agent_node& agent : agents_) {
    ends += agent.process->unexpected_ends();
  }
  return ends;
}

}  // namespace jayrill::soak
