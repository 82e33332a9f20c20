#include "kv_state.h"

#include <QDeadlineTimer>
#include <QJsonArray>
#include <QTimer>
#include <algorithm>
#include <utility>

namespace jayrill::standin {

namespace {

constexpr int kGrpcNotFound = 5;

QByteArray Bytes(const QJsonObject& json, const QString& name) {
  return QByteArray::fromBase64(json.value(name).toString().toLatin1());
}

std::int64_t Number(const QJsonObject& json, const QString& name) {
  const QJsonValue value = json.value(name);
  return value.isString() ? value.toString().toLongLong() : value.toInteger();
}

QString Text(std::int64_t value) {
  return QString::number(value);
}

QString Base64(const QByteArray& bytes) {
  return QString::fromLatin1(bytes.toBase64());
}

std::int64_t NowMs() {
  return QDeadlineTimer::current().deadline();
}

kv_state::answer LeaseNotFound() {
  return {404,
          {{QStringLiteral("error"),
            QStringLiteral("etcdserver: requested lease not found")},
           {QStringLiteral("code"), kGrpcNotFound},
           {QStringLiteral("message"),
            QStringLiteral("etcdserver: requested lease not found")}}};
}

}  // namespace

kv_state::kv_state(change_listener on_change)
    : on_change_(std::move(on_change)) {}

bool kv_state::InRange(const QByteArray& key,
                       const QByteArray& begin,
                       const QByteArray& end) {
  if (end.isEmpty()) {
    return key == begin;
  }
  const bool open = end == QByteArray(1, '\0');
  return key >= begin && (open || key < end);
}

QJsonObject kv_state::Header() const {
  return {{QStringLiteral("cluster_id"), QStringLiteral("1")},
          {QStringLiteral("member_id"), QStringLiteral("1")},
          {QStringLiteral("revision"), Text(revision_)},
          {QStringLiteral("raft_term"), QStringLiteral("2")}};
}

kv_state::answer kv_state::Range(const QJsonObject& request) const {
  const QByteArray begin = Bytes(request, QStringLiteral("key"));
  const QByteArray end = Bytes(request, QStringLiteral("range_end"));
  const bool keys_only = request.value(QStringLiteral("keys_only")).toBool();
  QJsonArray kvs;
  for (const auto& [key, item] : records_) {
    if (!InRange(key, begin, end)) {
      continue;
    }
    QJsonObject kv{
        {QStringLiteral("key"), Base64(key)},
        {QStringLiteral("create_revision"), Text(item.create_revision)},
        {QStringLiteral("mod_revision"), Text(item.mod_revision)},
        {QStringLiteral("version"), Text(item.version)}};
    if (!keys_only) {
      kv.insert(QStringLiteral("value"), Base64(item.value));
    }
    if (item.lease != 0) {
      kv.insert(QStringLiteral("lease"), Text(item.lease));
    }
    kvs.append(kv);
  }
  QJsonObject body{{QStringLiteral("header"), Header()}};
  // The protocol omits empty fields.
  if (!kvs.isEmpty()) {
    body.insert(QStringLiteral("kvs"), kvs);
    body.insert(QStringLiteral("count"), Text(kvs.size()));
  }
  return {200, body};
}

bool kv_state::Compare(const QJsonObject& compare) const {
  const auto found = records_.find(Bytes(compare, QStringLiteral("key")));
  const std::int64_t actual =
      found == records_.end() ? 0 : found->second.mod_revision;
  return actual == Number(compare, QStringLiteral("mod_revision"));
}

bool kv_state::HasLeases(const QJsonObject& request) const {
  const QJsonArray operations =
      request.value(QStringLiteral("success")).toArray();
  return std::all_of(
      operations.begin(), operations.end(), [this](const QJsonValue& item) {
        const auto id = Number(
            item.toObject().value(QStringLiteral("request_put")).toObject(),
            QStringLiteral("lease"));
        return id == 0 || leases_.contains(id);
      });
}

kv_state::answer kv_state::Txn(const QJsonObject& request) {
  const QJsonArray compares =
      request.value(QStringLiteral("compare")).toArray();
  const bool succeeded = std::all_of(
      compares.begin(), compares.end(),
      [this](const QJsonValue& item) { return Compare(item.toObject()); });
  if (succeeded && !HasLeases(request)) {
    return LeaseNotFound();
  }
  QJsonArray responses;
  const QString branch =
      succeeded ? QStringLiteral("success") : QStringLiteral("failure");
  for (const QJsonValue item : request.value(branch).toArray()) {
    responses.append(Apply(item.toObject()));
  }
  QJsonObject body{{QStringLiteral("header"), Header()},
                   {QStringLiteral("responses"), responses}};
  if (succeeded) {
    body.insert(QStringLiteral("succeeded"), true);
  }
  return {200, body};
}

QJsonObject kv_state::Apply(const QJsonObject& operation) {
  if (operation.contains(QStringLiteral("request_put"))) {
    Put(operation.value(QStringLiteral("request_put")).toObject());
    return {{QStringLiteral("response_put"),
             QJsonObject{{QStringLiteral("header"), Header()}}}};
  }
  if (operation.contains(QStringLiteral("request_delete_range"))) {
    Delete(Bytes(
        operation.value(QStringLiteral("request_delete_range")).toObject(),
        QStringLiteral("key")));
    return {{QStringLiteral("response_delete_range"),
             QJsonObject{{QStringLiteral("header"), Header()}}}};
  }
  return {{QStringLiteral("response_range"),
           Range(operation.value(QStringLiteral("request_range")).toObject())
               .body}};
}

void kv_state::Put(const QJsonObject& put) {
  const QByteArray key = Bytes(put, QStringLiteral("key"));
  record& item = records_[key];
  ++revision_;
  item.value = Bytes(put, QStringLiteral("value"));
  item.create_revision = item.version == 0 ? revision_ : item.create_revision;
  item.mod_revision = revision_;
  ++item.version;
  item.lease = Number(put, QStringLiteral("lease"));
  history_.push_back({key, false, item.value, revision_});
  on_change_(history_.back());
}

void kv_state::Delete(const QByteArray& key) {
  if (records_.erase(key) > 0) {
    ++revision_;
    history_.push_back({key, true, {}, revision_});
    on_change_(history_.back());
  }
}

kv_state::answer kv_state::LeaseGrant(const QJsonObject& request) {
  const std::int64_t id = next_lease_++;
  const std::int64_t ttl = Number(request, QStringLiteral("TTL"));
  leases_[id] = {ttl, NowMs() + ttl * 1000};
  ScheduleExpiry(id);
  return {200,
          {{QStringLiteral("header"), Header()},
           {QStringLiteral("ID"), Text(id)},
           {QStringLiteral("TTL"), Text(ttl)}}};
}

kv_state::answer kv_state::LeaseKeepAlive(const QJsonObject& request) {
  const std::int64_t id = Number(request, QStringLiteral("ID"));
  QJsonObject result{{QStringLiteral("header"), Header()},
                     {QStringLiteral("ID"), Text(id)}};
  const auto found = leases_.find(id);
  if (found != leases_.end()) {
    found->second.end_ms = NowMs() + found->second.ttl * 1000;
    result.insert(QStringLiteral("TTL"), Text(found->second.ttl));
  }
  return {200, {{QStringLiteral("result"), result}}};
}

void kv_state::ScheduleExpiry(std::int64_t id) {
  const auto wait = std::chrono::milliseconds(
      std::max<std::int64_t>(leases_[id].end_ms - NowMs(), 0));
  QTimer::singleShot(wait, Qt::PreciseTimer, &timers_, [this, id] {
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
      return;
    }
    if (found->second.end_ms > NowMs()) {
      ScheduleExpiry(id);
    } else {
      Expire(id);
    }
  });
}

void kv_state::Expire(std::int64_t id) {
  leases_.erase(id);
  std::vector<QByteArray> keys;
  for (const auto& [key, item] : records_) {
    if (item.lease == id) {
      keys.push_back(key);
    }
  }
  for (const QByteArray& key : keys) {
    Delete(key);
  }
}

QJsonObject ToJson(const kv_state::change& kv) {
  QJsonObject json{{QStringLiteral("key"), Base64(kv.key)},
                   {QStringLiteral("mod_revision"), Text(kv.revision)}};
  QJsonObject event;
  if (kv.deleted) {
    event.insert(QStringLiteral("type"), QStringLiteral("DELETE"));
  } else {
    json.insert(QStringLiteral("value"), Base64(kv.value));
  }
  event.insert(QStringLiteral("kv"), json);
  return event;
}

}  // namespace jayrill::standin
