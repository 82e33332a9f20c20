#include "jayrill/agent/internal/minion_call.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>
#include <algorithm>
#include <utility>

namespace jayrill::agent::internal {

namespace {

constexpr int kStatusOk = 200;

// First of the codes by which Qt reports a complete response with an HTTP error
// status. Smaller codes are failures of the connection.
constexpr int kFirstHttpError = QNetworkReply::ContentAccessDenied;

QByteArray HeaderValue(const std::string& text) {
  QByteArray header = QByteArray::fromStdString(text);
  // A line break would let the text inject a further header.
  header.replace('\r', ' ').replace('\n', ' ');
  return header;
}

// Never empty: Qt repeats a request on a new connection unless it has a body
// that cannot be rewound (see upload_device).
QByteArray RequestBody(const std::string& payload) {
  return payload.empty() ? QByteArrayLiteral("null")
                         : QByteArray::fromStdString(payload);
}

bool IsJson(const QByteArray& body) {
  if (!QJsonDocument::fromJson(body).isNull()) {
    return true;
  }
  // QJsonDocument does not accept a scalar at the top level.
  const QJsonDocument scalar = QJsonDocument::fromJson('[' + body + ']');
  return scalar.array().size() == 1;
}

bool IsConnectionFailure(QNetworkReply::NetworkError failure) {
  return failure != QNetworkReply::NoError &&
         (failure < kFirstHttpError ||
          failure == QNetworkReply::ContentReSendError ||
          (failure >= QNetworkReply::ProtocolUnknownError &&
           failure <= QNetworkReply::ProtocolFailure));
}

}  // namespace

minion_call::minion_call(const task_call& call,
                         const agent_settings& settings,
                         const clock& time,
                         QNetworkAccessManager& network_manager,
                         QObject* parent)
    : QObject(parent),
      call_(call),
      settings_(settings),
      time_(time),
      network_manager_(network_manager),
      body_(RequestBody(call.order.payload)) {}

minion_call::~minion_call() {
  if (reply_ != nullptr) {
    reply_->disconnect(this);
    reply_->abort();
    delete reply_;
  }
}

QNetworkRequest minion_call::MakeRequest() const {
  QUrl url;
  url.setScheme(QStringLiteral("http"));
  url.setHost(QString::fromStdString(settings_.minion_host));
  url.setPort(call_.port);
  url.setPath(QStringLiteral("/run"));
  QNetworkRequest request(url);
  request.setRawHeader("Jayrill-Job", HeaderValue(ToString(call_.order.job)));
  request.setRawHeader("Jayrill-Task",
                       QByteArray::number(call_.order.task_index));
  request.setRawHeader("Jayrill-Kind", HeaderValue(call_.order.kind));
  // Without compression, the size limit bounds the response itself; Qt would
  // otherwise decompress it beyond the limit.
  request.setRawHeader("Accept-Encoding", "identity");
  request.setHeader(QNetworkRequest::ContentTypeHeader,
                    QByteArrayLiteral("application/json"));
  request.setHeader(QNetworkRequest::ContentLengthHeader, body_.size());
  request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  // Following a redirect would run the task a second time.
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  request.setAttribute(QNetworkRequest::CacheLoadControlAttribute,
                       QNetworkRequest::AlwaysNetwork);
  return request;
}

void minion_call::Start(std::function<void(task_result)> on_result,
                        std::function<void()> on_end) {
  on_result_ = std::move(on_result);
  on_end_ = std::move(on_end);
  started_ = time_.Now();
  reply_ = network_manager_.post(MakeRequest(), &body_);
  connect(reply_, &QNetworkReply::readyRead, this, [this] { OnReadyRead(); });
  connect(reply_, &QNetworkReply::finished, this, [this] { OnFinished(); });
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(call_.deadline - started_, steady_duration::zero()));
  QTimer::singleShot(remaining, this, [this] { OnDeadline(); });
}

void minion_call::OnReadyRead() {
  if (reply_->bytesAvailable() > settings_.max_result_bytes) {
    Report(task_outcome::kFailed,
           "the answer of the minion is larger than " +
               std::to_string(settings_.max_result_bytes) + " bytes");
    reply_->abort();
  }
}

void minion_call::OnDeadline() {
  Report(task_outcome::kUnknown, "the deadline passed while the task ran");
  // The task may still run, so its slot stays in use until the minion answers
  // or the limit has passed.
  QTimer::singleShot(settings_.slot_hold_limit, this,
                     [this] { reply_->abort(); });
}

void minion_call::OnFinished() {
  if (!reported_) {
    reported_ = true;
    on_result_(ClassifyReply());
  }
  reply_->disconnect(this);
  reply_->deleteLater();
  reply_ = nullptr;
  deleteLater();
  on_end_();
}

void minion_call::Report(task_outcome outcome, std::string message) {
  if (reported_) {
    return;
  }
  reported_ = true;
  task_result result;
  result.outcome = outcome;
  result.message = std::move(message);
  result.run_time = std::chrono::duration_cast<std::chrono::microseconds>(
      time_.Now() - started_);
  on_result_(std::move(result));
}

task_result minion_call::ClassifyReply() {
  task_result result;
  const QNetworkReply::NetworkError failure = reply_->error();
  if (failure == QNetworkReply::ConnectionRefusedError && !body_.was_read()) {
    result.outcome = task_outcome::kNotRun;
    result.reason = not_run_reason::kConnectionRefused;
    result.message = "the minion refused the connection";
    return result;
  }
  result.run_time = std::chrono::duration_cast<std::chrono::microseconds>(
      time_.Now() - started_);
  if (IsConnectionFailure(failure)) {
    result.outcome = task_outcome::kUnknown;
    result.message = "the connection to the minion failed: " +
                     reply_->errorString().toStdString();
    return result;
  }
  const int status =
      reply_->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  const QByteArray body = reply_->readAll();
  if (status != kStatusOk) {
    result.outcome = task_outcome::kFailed;
    result.message =
        "the minion answered with status " + std::to_string(status);
  } else if (!IsJson(body)) {
    result.outcome = task_outcome::kFailed;
    result.message = "the answer of the minion is not JSON";
  } else {
    result.outcome = task_outcome::kSucceeded;
    result.body = body.toStdString();
  }
  return result;
}

}  // namespace jayrill::agent::internal
