#include "scenario_host.h"

#include <signal.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QFile>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QProcessEnvironment>
#include <QTimer>
#include <cstdio>

namespace jayrill::scenario {

namespace {

/// A QNetworkAccessManager opens at most six connections to a host, so pending
/// requests are spread over several managers.
constexpr std::size_t kMaxNetworkManagers = 64;

std::pair<QHostAddress, quint16> SplitAddress(const QString& address) {
  const auto parts = address.split(QLatin1Char(':'));
  return {QHostAddress(parts.value(0)), parts.value(1).toUShort()};
}

QByteArray ReadProcFile(qint64 pid, const char* name) {
  QFile file(QStringLiteral("/proc/%1/%2").arg(pid).arg(QLatin1String(name)));
  return file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray();
}

/// \returns the number behind \p label at the start of a line of \p text.
long NumberAfterLabel(const QByteArray& text, const QByteArray& label) {
  for (const QByteArray& line : text.split('\n')) {
    if (line.startsWith(label)) {
      return line.mid(label.size()).trimmed().split(' ').value(0).toLong();
    }
  }
  return 0;
}

}  // namespace

scenario_host::~scenario_host() {
  for (process& item : processes_) {
    if (item.handle->state() != QProcess::NotRunning) {
      kill(static_cast<pid_t>(item.handle->processId()), SIGCONT);
      item.handle->kill();
      item.handle->waitForFinished(5000);
    }
  }
  for (auto& [id, item] : requests_) {
    delete item.reply;
  }
}

int scenario_host::Spawn(const QString& name,
                         const QString& program,
                         const QStringList& arguments,
                         const QStringList& environment) {
  auto handle = std::make_unique<QProcess>();
  QProcessEnvironment variables = QProcessEnvironment::systemEnvironment();
  for (const QString& item : environment) {
    variables.insert(item.section(QLatin1Char('='), 0, 0),
                     item.section(QLatin1Char('='), 1));
  }
  handle->setProcessEnvironment(variables);
  handle->setProcessChannelMode(QProcess::MergedChannels);
  handle->start(program, arguments);
  handle->waitForStarted(10'000);
  processes_.push_back({name, std::move(handle), {}});
  return static_cast<int>(processes_.size()) - 1;
}

void scenario_host::Signal(int id, int signal_number) {
  const QProcess& handle = *processes_.at(id).handle;
  if (handle.state() != QProcess::NotRunning) {
    kill(static_cast<pid_t>(handle.processId()), signal_number);
  }
}

std::optional<int> scenario_host::ExitCode(int id) const {
  const QProcess& handle = *processes_.at(id).handle;
  if (handle.state() != QProcess::NotRunning) {
    return std::nullopt;
  }
  return handle.exitStatus() == QProcess::NormalExit ? handle.exitCode() : -1;
}

QString scenario_host::Output(int id) {
  process& item = processes_.at(id);
  item.output += QString::fromUtf8(item.handle->readAll());
  return item.output;
}

process_usage scenario_host::Usage(int id) const {
  const qint64 pid = processes_.at(id).handle->processId();
  process_usage usage;
  usage.resident_kib = NumberAfterLabel(ReadProcFile(pid, "status"), "VmRSS:");
  const QByteArray io = ReadProcFile(pid, "io");
  usage.io_bytes =
      NumberAfterLabel(io, "rchar:") + NumberAfterLabel(io, "wchar:");
  const QByteArray stat = ReadProcFile(pid, "stat");
  // The process name, in parentheses, may contain spaces. User and system time
  // are the 12th and 13th field behind it.
  const auto fields = stat.mid(stat.lastIndexOf(')') + 2).split(' ');
  const long ticks = fields.value(11).toLong() + fields.value(12).toLong();
  usage.cpu_ms = ticks * 1000 / sysconf(_SC_CLK_TCK);
  return usage;
}

QNetworkAccessManager& scenario_host::NextNetworkManager() {
  if (network_managers_.size() < kMaxNetworkManagers) {
    network_managers_.push_back(std::make_unique<QNetworkAccessManager>());
    network_managers_.back()->setProxy(QNetworkProxy::NoProxy);
    return *network_managers_.back();
  }
  return *network_managers_[static_cast<std::size_t>(next_request_) %
                            kMaxNetworkManagers];
}

int scenario_host::BeginRequest(const QByteArray& method,
                                const QString& url,
                                const std::map<QByteArray, QByteArray>& headers,
                                const QByteArray& body) {
  QNetworkRequest message{QUrl(url)};
  message.setHeader(QNetworkRequest::ContentTypeHeader,
                    QStringLiteral("application/json"));
  for (const auto& [name, value] : headers) {
    message.setRawHeader(name, value);
  }
  const int id = next_request_++;
  QNetworkReply* const reply =
      NextNetworkManager().sendCustomRequest(message, method, body);
  requests_[id].reply = reply;
  QObject::connect(reply, &QNetworkReply::finished, reply, [this, id, reply] {
    http_answer answer;
    answer.status =
        reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    answer.body = reply->readAll();
    // A connection that was cut inside the body is not an answer.
    if (reply->error() == QNetworkReply::RemoteHostClosedError) {
      answer.status = 0;
    }
    requests_[id].answer = answer;
  });
  return id;
}

std::optional<scenario_host::http_answer> scenario_host::Answer(int id) const {
  return requests_.at(id).answer;
}

void scenario_host::AbortRequest(int id) {
  requests_.at(id).reply->abort();
}

int scenario_host::AddForwarder(const QString& address) {
  const auto [host, port] = SplitAddress(address);
  forwarders_.push_back(std::make_unique<forwarder>(host, port));
  return static_cast<int>(forwarders_.size()) - 1;
}

int scenario_host::OpenRaw(const QString& address, const QByteArray& bytes) {
  const auto [host, port] = SplitAddress(address);
  auto socket = std::make_unique<QTcpSocket>();
  socket->connectToHost(host, port);
  socket->waitForConnected(5000);
  socket->write(bytes);
  raw_sockets_.push_back(std::move(socket));
  return static_cast<int>(raw_sockets_.size()) - 1;
}

std::pair<QByteArray, bool> scenario_host::ReadRaw(int id) {
  QTcpSocket& socket = *raw_sockets_.at(id);
  return {socket.readAll(), socket.state() == QAbstractSocket::ConnectedState};
}

quint16 scenario_host::FreePort() {
  // The ports are below the range of ephemeral ports, so that no outgoing
  // connection takes a port before the process that will listen on it. The
  // first port depends on the pid, so that scenarios can run at the same time.
  constexpr int kFirstPort = 10'000;
  constexpr int kPortCount = 20'000;
  if (next_port_ == 0) {
    next_port_ = static_cast<int>(getpid()) * 211 % kPortCount;
  }
  while (true) {
    next_port_ = (next_port_ + 1) % kPortCount;
    const auto port = static_cast<quint16>(kFirstPort + next_port_);
    QTcpServer server;
    if (server.listen(QHostAddress::LocalHost, port)) {
      return port;
    }
  }
}

void scenario_host::RunEventLoop(int milliseconds) {
  QEventLoop loop;
  QTimer::singleShot(milliseconds, &loop, &QEventLoop::quit);
  loop.exec();
}

void scenario_host::PrintOutputs() {
  for (int id = 0; id < static_cast<int>(processes_.size()); ++id) {
    std::printf("---- output of %s\n%s\n", qPrintable(processes_[id].name),
                qPrintable(Output(id)));
  }
}

}  // namespace jayrill::scenario
