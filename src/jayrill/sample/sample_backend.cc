#include "jayrill/sample/sample_backend.h"

#include <QHostAddress>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <utility>

#include "jayrill/sample/internal/sample_server.h"

namespace jayrill {

namespace {

// Interval at which a stopping backend asks its agent for the number of running
// tasks.
constexpr std::chrono::milliseconds kStopPollInterval{100};

QUrl ToUrl(const std::string& address) {
  return QUrl(QStringLiteral("http://") + QString::fromStdString(address));
}

}  // namespace

sample_backend::sample_backend(sample_settings settings, const clock& time)
    : settings_(std::move(settings)),
      server_(
          std::make_unique<sample::internal::sample_server>(settings_, time)) {
  network_.setProxy(QNetworkProxy::NoProxy);
  network_.setAutoDeleteReplies(true);
  QObject::connect(&announce_timer_, &QTimer::timeout, &announce_timer_,
                   [this] { Announce(); });
  QObject::connect(&stop_timer_, &QTimer::timeout, &stop_timer_,
                   [this] { PollUntilIdle(); });
}

sample_backend::~sample_backend() = default;

result<void> sample_backend::Start() {
  const QUrl url = ToUrl(settings_.http_address);
  const QHostAddress host(url.host());
  if (host.isNull() || url.port(-1) < 0 ||
      server_->listen(host, static_cast<quint16>(url.port())) == 0) {
    return MakeError(
        error_kind::kUnavailable,
        "the sample backend cannot listen on " + settings_.http_address,
        "give IP:port of this machine with a free port");
  }
  if (!settings_.agent_address.empty()) {
    Announce();
    announce_timer_.start(settings_.announce_interval);
  }
  return {};
}

void sample_backend::Announce() {
  const QJsonObject resources{
      {QStringLiteral("cores"), static_cast<qint64>(settings_.cores)},
      {QStringLiteral("memory_mb"), static_cast<qint64>(settings_.memory_mb)},
      {QStringLiteral("accelerators"),
       static_cast<qint64>(settings_.accelerators)}};
  const QJsonObject announcement{
      {QStringLiteral("service"), QString::fromStdString(settings_.service)},
      {QStringLiteral("port"), port()},
      {QStringLiteral("slots"), static_cast<qint64>(settings_.slots)},
      {QStringLiteral("connections"),
       static_cast<qint64>(settings_.connections)},
      {QStringLiteral("resources"), resources}};
  Post("/v1/announce",
       QJsonDocument(announcement).toJson(QJsonDocument::Compact));
}

QNetworkReply* sample_backend::Post(const char* path, const QByteArray& body) {
  QUrl url = ToUrl(settings_.agent_address);
  url.setPath(QLatin1String(path));
  QNetworkRequest request(url);
  request.setHeader(QNetworkRequest::ContentTypeHeader,
                    QByteArrayLiteral("application/json"));
  request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  request.setTransferTimeout(
      static_cast<int>(settings_.announce_interval.count()));
  return network_.post(request, body);
}

void sample_backend::Leave() {
  announce_timer_.stop();
  if (!settings_.agent_address.empty()) {
    Post("/v1/leave", "{}");
  }
}

void sample_backend::Stop(std::function<void()> stopped) {
  stopped_ = std::move(stopped);
  announce_timer_.stop();
  stop_timer_.start(kStopPollInterval);
  PollUntilIdle();
}

void sample_backend::PollUntilIdle() {
  if (settings_.agent_address.empty()) {
    OnLeaveAnswered(nullptr);
    return;
  }
  QNetworkReply* const reply = Post("/v1/leave", "{}");
  QObject::connect(reply, &QNetworkReply::finished, &stop_timer_,
                   [this, reply] { OnLeaveAnswered(reply); });
}

void sample_backend::OnLeaveAnswered(QNetworkReply* reply) {
  // A call of the agent may not have arrived yet, so the agent must count no
  // running task either. An agent that does not answer is taken to be gone and
  // to send no more calls.
  const bool agent_idle =
      reply == nullptr || reply->error() != QNetworkReply::NoError ||
      QJsonDocument::fromJson(reply->readAll())[QLatin1String("running")]
              .toInt() == 0;
  if (agent_idle && running() == 0 && stop_timer_.isActive()) {
    stop_timer_.stop();
    stopped_();
  }
}

void sample_backend::SetFault(sample_fault fault) {
  server_->SetFault(fault);
}

std::uint16_t sample_backend::port() const {
  const auto ports = server_->serverPorts();
  return ports.isEmpty() ? 0 : ports.front();
}

std::uint32_t sample_backend::running() const {
  return server_->running();
}

const execution_record& sample_backend::record() const {
  return server_->record();
}

}  // namespace jayrill
