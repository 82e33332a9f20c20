#include "jayrill/store/internal/etcd_watch.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <utility>

#include "jayrill/store/internal/etcd_json.h"

namespace jayrill::store_internal {

namespace {

// Version 14 of the linter sees using-declarations of literals as unused.
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace Qt::StringLiterals;
using std::chrono::milliseconds;

// The listener is confirmed at least once per second; this leaves 200 ms for
// the round trip.
constexpr milliseconds kProbeInterval(800);
// Used when the listener has no on_confirmed. Such probes only detect a stream
// that is open but no longer delivers changes.
constexpr milliseconds kSlowProbeInterval(4000);
constexpr milliseconds kRestartDelay(200);
// One mismatch may be a change that the stream is about to report. Two in a row
// mean that the stream no longer delivers changes, for example because its
// connection is half open.
constexpr int kMaxMismatches = 2;

}  // namespace

etcd_watch::etcd_watch(std::shared_ptr<etcd_client> client,
                       scheduler& timers,
                       std::string prefix,
                       store::watch_listener listener)
    : client_(std::move(client)),
      timers_(timers),
      prefix_(std::move(prefix)),
      listener_(std::move(listener)) {
  List();
  ScheduleProbe();
}

etcd_watch::~etcd_watch() {
  CloseStream();
}

void etcd_watch::List() {
  starting_ = true;
  client_->Post(u"/v3/kv/range"_s, RangeOfPrefix(prefix_), call_kind::kRead,
                guard_.Wrap([this](const result<etcd_answer>& answer) {
                  OnList(answer);
                }));
}

void etcd_watch::OnList(const result<etcd_answer>& answer) {
  if (!answer) {
    Interrupt(answer.error());
    return;
  }
  const store_revision list_revision = HeaderRevision(answer->json);
  std::map<std::string, store_entry> listed;
  for (store_entry& entry : Entries(answer->json)) {
    listed[entry.key] = std::move(entry);
  }
  const auto before = reported_;
  for (const auto& [key, revision] : before) {
    if (!listed.contains(key) && !Report({key, std::nullopt, list_revision})) {
      return;
    }
  }
  for (auto& [key, entry] : listed) {
    const auto known = before.find(key);
    if ((known == before.end() || known->second != entry.revision) &&
        !Report({key, std::move(entry.value), entry.revision})) {
      return;
    }
  }
  starting_ = false;
  mismatches_ = 0;
  OpenStream(list_revision);
  Confirm();
}

void etcd_watch::OpenStream(store_revision from) {
  QJsonObject create = RangeOfPrefix(prefix_);
  create.insert(u"start_revision"_s, QString::number(from.value + 1));
  create.insert(u"progress_notify"_s, true);
  buffer_.clear();
  stream_ =
      client_->OpenStream(u"/v3/watch"_s, {{u"create_request"_s, create}});
  QObject::connect(stream_, &QNetworkReply::readyRead, stream_,
                   guard_.Wrap([this] { OnStreamData(); }));
  QObject::connect(stream_, &QNetworkReply::finished, stream_,
                   guard_.Wrap([this] {
                     Interrupt({error_kind::kUnavailable,
                                "store: the watch has ended: " +
                                    stream_->errorString().toStdString(),
                                "none; it is opened again"});
                   }));
}

void etcd_watch::OnStreamData() {
  const std::weak_ptr<bool> alive = alive_;
  buffer_ += stream_->readAll();
  qsizetype end = 0;
  while (!alive.expired() && (end = buffer_.indexOf('\n')) >= 0) {
    const QByteArray line = buffer_.left(end);
    buffer_.remove(0, end + 1);
    OnStreamLine(line);
  }
}

void etcd_watch::OnStreamLine(const QByteArray& line) {
  if (line.trimmed().isEmpty()) {
    return;
  }
  const QJsonObject message =
      QJsonDocument::fromJson(line).object().value(u"result"_s).toObject();
  if (message.isEmpty() || message.value(u"canceled"_s).toBool()) {
    Interrupt({error_kind::kUnavailable,
               "store: the watch was cancelled: " + line.toStdString(),
               "none; it is opened again"});
    return;
  }
  for (const QJsonValue item : message.value(u"events"_s).toArray()) {
    const QJsonObject event = item.toObject();
    const QJsonObject kv = event.value(u"kv"_s).toObject();
    store_event change{Bytes(kv, u"key"_s), std::nullopt,
                       store_revision{Number(kv, u"mod_revision"_s)}};
    if (event.value(u"type"_s).toString() != u"DELETE"_s) {
      change.value = Bytes(kv, u"value"_s);
    }
    if (!Report(change)) {
      return;
    }
  }
}

void etcd_watch::Confirm() {
  if (listener_.on_confirmed) {
    listener_.on_confirmed();
  }
}

void etcd_watch::ScheduleProbe() {
  timers_.After(listener_.on_confirmed ? kProbeInterval : kSlowProbeInterval,
                guard_.Wrap([this] { Probe(); }));
}

void etcd_watch::Probe() {
  ScheduleProbe();
  if (starting_) {
    return;
  }
  QJsonObject request = RangeOfPrefix(prefix_);
  request.insert(u"keys_only"_s, true);
  client_->Post(u"/v3/kv/range"_s, request, call_kind::kRead,
                guard_.Wrap([this](const result<etcd_answer>& answer) {
                  OnProbe(answer);
                }));
}

void etcd_watch::OnProbe(const result<etcd_answer>& answer) {
  if (starting_) {
    return;
  }
  if (!answer) {
    Interrupt(answer.error());
  } else if (IsCurrent(Entries(answer->json))) {
    mismatches_ = 0;
    Confirm();
  } else if (++mismatches_ >= kMaxMismatches) {
    Interrupt({error_kind::kUnavailable, "store: the watch fell behind",
               "none; it is opened again"});
  }
}

bool etcd_watch::IsCurrent(const std::vector<store_entry>& entries) const {
  if (entries.size() != reported_.size()) {
    return false;
  }
  for (const store_entry& entry : entries) {
    const auto found = reported_.find(entry.key);
    if (found == reported_.end() || found->second != entry.revision) {
      return false;
    }
  }
  return true;
}

void etcd_watch::Interrupt(const error& failure) {
  CloseStream();
  starting_ = true;
  client_->UseNextEndpoint();
  timers_.After(kRestartDelay, guard_.Wrap([this] { List(); }));
  listener_.on_interrupted(failure);
}

void etcd_watch::CloseStream() {
  if (stream_) {
    stream_->disconnect();
    stream_->abort();
    stream_->deleteLater();
    stream_ = nullptr;
  }
  buffer_.clear();
}

bool etcd_watch::Report(const store_event& event) {
  // The stream may repeat a change that the list has shown.
  const auto known = reported_.find(event.key);
  if (event.value) {
    if (known != reported_.end() && known->second >= event.revision) {
      return true;
    }
    reported_[event.key] = event.revision;
  } else if (known == reported_.end()) {
    return true;
  } else {
    reported_.erase(known);
  }
  const std::weak_ptr<bool> alive = alive_;
  // A copy, because the listener may destroy this watch during the call.
  const auto on_event = listener_.on_event;
  on_event(event);
  return !alive.expired();
}

}  // namespace jayrill::store_internal
