#include "standin_server.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <utility>

namespace jayrill::standin {

namespace {

constexpr int kGrpcUnavailable = 14;
constexpr char kRange[] = "/v3/kv/range";
constexpr char kTxn[] = "/v3/kv/txn";
constexpr char kGrant[] = "/v3/lease/grant";
constexpr char kKeepAlive[] = "/v3/lease/keepalive";
constexpr char kWatch[] = "/v3/watch";

QJsonObject Parse(const QByteArray& body) {
  return QJsonDocument::fromJson(body).object();
}

}  // namespace

standin_server::standin_server(std::uint64_t seed)
    : random_(seed),
      state_([this](const kv_state::change& change) { OnChange(change); }) {
  QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                   [this] { OnConnection(); });
}

std::uint16_t standin_server::Listen(std::uint16_t port) {
  return server_.listen(QHostAddress::LocalHost, port) ? server_.serverPort()
                                                       : 0;
}

void standin_server::OnConnection() {
  while (QTcpSocket* const socket = server_.nextPendingConnection()) {
    auto* const connection = new http_connection(
        socket, [this](http_connection& caller,
                       const http_connection::request& request) {
          OnRequest(caller, request);
        });
    connection->setParent(&server_);
    std::erase_if(connections_, [](const auto& item) { return !item; });
    connections_.emplace_back(connection);
  }
}

void standin_server::OnRequest(http_connection& caller,
                               const http_connection::request& request) {
  if (request.path == "/standin/mode") {
    OnMode(Parse(request.body));
    caller.Answer(200, {});
    return;
  }
  if (request.path == "/standin/counters") {
    caller.Answer(200, Counters());
    return;
  }
  ++counters_[request.path.toStdString()];
  if (mode_.down) {
    caller.Abort();
    return;
  }
  const QJsonObject body = Parse(request.body);
  if (request.path == kWatch) {
    StartWatch(caller, body.value(QStringLiteral("create_request")).toObject());
    return;
  }
  const auto run = [this, target = QPointer(&caller), path = request.path,
                    body] {
    if (target) {
      Execute(*target, path, body);
    } else {
      // The caller timed out; its request takes effect anyway.
      Call(path, body);
    }
  };
  if (mode_.delay_ms > 0) {
    QTimer::singleShot(mode_.delay_ms, &server_, run);
  } else {
    run();
  }
}

void standin_server::Execute(http_connection& caller,
                             const QByteArray& path,
                             const QJsonObject& request) {
  if (mode_.down) {
    caller.Abort();
    return;
  }
  std::uniform_real_distribution<double> unit(0.0, 1.0);
  const bool fails = unit(random_) < mode_.error_rate;
  const bool applied = !fails || unit(random_) < 0.5;
  const kv_state::answer answer =
      applied ? Call(path, request) : kv_state::answer{};
  if (fails) {
    caller.Answer(503, {{QStringLiteral("error"),
                         QStringLiteral("etcdserver: request timed out")},
                        {QStringLiteral("code"), kGrpcUnavailable}});
  } else if (path == kTxn && mode_.lose_answers > 0) {
    --mode_.lose_answers;
    caller.Abort();
  } else {
    caller.Answer(answer.status, answer.body);
  }
}

kv_state::answer standin_server::Call(const QByteArray& path,
                                      const QJsonObject& request) {
  if (path == kRange) {
    return state_.Range(request);
  }
  if (path == kTxn) {
    return state_.Txn(request);
  }
  if (path == kGrant) {
    return state_.LeaseGrant(request);
  }
  if (path == kKeepAlive) {
    return state_.LeaseKeepAlive(request);
  }
  return {404,
          {{QStringLiteral("error"), QStringLiteral("Not Found")},
           {QStringLiteral("code"), 12}}};
}

void standin_server::StartWatch(http_connection& caller,
                                const QJsonObject& request) {
  const watcher added{
      QPointer(&caller),
      QByteArray::fromBase64(
          request.value(QStringLiteral("key")).toString().toLatin1()),
      QByteArray::fromBase64(
          request.value(QStringLiteral("range_end")).toString().toLatin1())};
  caller.StartStream();
  caller.WriteStream({{QStringLiteral("result"),
                       QJsonObject{{QStringLiteral("header"), state_.Header()},
                                   {QStringLiteral("created"), true}}}});
  const std::int64_t from =
      request.value(QStringLiteral("start_revision")).toVariant().toLongLong();
  for (const kv_state::change& change : state_.history()) {
    if (from > 0 && change.revision >= from) {
      Send(added, change);
    }
  }
  std::erase_if(watchers_,
                [](const watcher& item) { return !item.connection; });
  watchers_.push_back(added);
}

void standin_server::OnChange(const kv_state::change& change) {
  for (const watcher& target : watchers_) {
    Send(target, change);
  }
}

void standin_server::Send(const watcher& target,
                          const kv_state::change& change) {
  if (target.connection &&
      kv_state::InRange(change.key, target.begin, target.end)) {
    target.connection->WriteStream(
        {{QStringLiteral("result"),
          QJsonObject{
              {QStringLiteral("header"), state_.Header()},
              {QStringLiteral("events"), QJsonArray{ToJson(change)}}}}});
  }
}

void standin_server::OnMode(const QJsonObject& request) {
  mode next = mode_;
  next.down = request.value(QStringLiteral("down")).toBool(next.down);
  next.delay_ms =
      request.value(QStringLiteral("delay_ms")).toInt(next.delay_ms);
  next.lose_answers =
      request.value(QStringLiteral("lose_answers")).toInt(next.lose_answers);
  next.error_rate =
      request.value(QStringLiteral("error_rate")).toDouble(next.error_rate);
  set_mode(next);
}

void standin_server::set_mode(mode next) {
  mode_ = next;
  if (mode_.down) {
    for (const watcher& target : std::exchange(watchers_, {})) {
      if (target.connection) {
        target.connection->Abort();
      }
    }
  }
}

QJsonObject standin_server::Counters() const {
  QJsonObject counters;
  std::int64_t total = 0;
  for (const auto& [path, count] : counters_) {
    counters.insert(QString::fromStdString(path), qint64{count});
    total += count;
  }
  counters.insert(QStringLiteral("total"), qint64{total});
  return counters;
}

}  // namespace jayrill::standin
