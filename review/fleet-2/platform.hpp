#pragma once

// Stand-ins of the platform's store and of its minions, as PROTOCOL.md
// describes them, and a recorder of what was sent, answered and run.

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <QUrl>
#include <QUrlQuery>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <iomanip>
#include <mutex>
#include <vector>

#include "http.hpp"

namespace review2 {

inline std::string ToText(const QJsonObject& json) {
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

inline QJsonObject ToJson(const std::string& text) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

inline qint64 UnixMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Writes record.txt, one line an event with the seconds since the start.
class recorder {
 public:
  explicit recorder(const std::string& path)
      : begin_(clock_type::now()), file_(path) {}

  double Seconds() const {
    return std::chrono::duration<double>(clock_type::now() - begin_).count();
  }

  void Write(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << std::fixed << std::setprecision(3) << std::setw(8) << Seconds()
          << ' ' << line << std::endl;
  }

 private:
  time_point begin_;
  std::mutex mutex_;
  std::ofstream file_;
};

// The platform's store: items, transactions, leases and watches.
class store_standin {
 public:
  void Put(const std::string& key, const QJsonObject& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    PutBytes(QString::fromStdString(key),
             QJsonDocument(value).toJson(QJsonDocument::Compact).toBase64(), 0);
  }

  void Delete(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Remove(QString::fromStdString(key));
  }

  http_reply Handle(const http_message& request) {
    const QUrl url(QString::fromStdString(request.path));
    const QUrlQuery query(url);
    const auto value = [&query](const char* name) {
      return query.queryItemValue(QString::fromLatin1(name),
                                  QUrl::FullyDecoded);
    };
    std::unique_lock<std::mutex> lock(mutex_);
    EndLeases();
    const QString path = url.path();
    if (path == QLatin1String("/v1/kv-key")) {
      const auto found = items_.find(value("key"));
      return found == items_.end() ? http_reply{404}
                                   : http_reply{200, ToText(found->second)};
    }
    if (path == QLatin1String("/v1/kv-range")) {
      return Range(value("prefix"), value("after"));
    }
    if (path == QLatin1String("/v1/kv-watch")) {
      return Watch(lock, value("prefix"), value("after").toLongLong(),
                   milliseconds(value("wait_ms").toInt()));
    }
    if (path == QLatin1String("/v1/kv-txn")) {
      return Transact(ToJson(request.body));
    }
    if (path == QLatin1String("/v1/kv-lease")) {
      const qint64 ttl =
          ToJson(request.body)[QLatin1String("ttl_ms")].toInteger();
      leases_[++last_lease_] = {clock_type::now() + milliseconds(ttl), ttl};
      return {200, ToText({{QLatin1String("lease"), last_lease_},
                           {QLatin1String("ttl_ms"), ttl}})};
    }
    const qint64 lease = path.section(QLatin1Char('/'), -1).toLongLong();
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
      return {404};
    }
    if (path.startsWith(QLatin1String("/v1/kv-keep/"))) {
      found->second.until =
          clock_type::now() + milliseconds(found->second.ttl_ms);
      return {200, ToText({{QLatin1String("lease"), lease},
                           {QLatin1String("ttl_ms"), found->second.ttl_ms}})};
    }
    found->second.until = clock_type::now();
    EndLeases();
    return {200};
  }

 private:
  static constexpr std::chrono::seconds kRetention{20};

  struct change {
    qint64 revision = 0;
    time_point at;
    QJsonObject item;
  };
  struct lease {
    time_point until;
    qint64 ttl_ms = 0;
  };

  void PutBytes(const QString& key, const QByteArray& base64, qint64 lease) {
    ++revision_;
    const auto found = items_.find(key);
    const qint64 created =
        found == items_.end()
            ? revision_
            : found->second[QLatin1String("created")].toInteger();
    items_[key] =
        QJsonObject{{QLatin1String("key"), key},
                    {QLatin1String("value"), QString::fromLatin1(base64)},
                    {QLatin1String("revision"), revision_},
                    {QLatin1String("created"), created},
                    {QLatin1String("lease"), lease}};
    AddToHistory(items_[key]);
  }

  void Remove(const QString& key) {
    if (items_.erase(key) > 0) {
      ++revision_;
      AddToHistory({{QLatin1String("key"), key},
                    {QLatin1String("revision"), revision_},
                    {QLatin1String("deleted"), true}});
    }
  }

  // Adds a change and drops those that are older than the retention.
  void AddToHistory(const QJsonObject& item) {
    const time_point now = clock_type::now();
    history_.push_back({revision_, now, item});
    while (now - history_.front().at > kRetention) {
      dropped_ = history_.front().revision;
      history_.erase(history_.begin());
    }
    changed_.notify_all();
  }

  void EndLeases() {
    const time_point now = clock_type::now();
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.until > now) {
        ++it;
        continue;
      }
      std::vector<QString> keys;
      for (const auto& [key, item] : items_) {
        if (item[QLatin1String("lease")].toInteger() == it->first) {
          keys.push_back(key);
        }
      }
      for (const QString& key : keys) {
        Remove(key);
      }
      it = leases_.erase(it);
    }
  }

  http_reply Range(const QString& prefix, const QString& after) const {
    QJsonArray found;
    for (const auto& [key, item] : items_) {
      if (key.startsWith(prefix) && key > after) {
        found.append(item);
      }
    }
    return {200, ToText({{QLatin1String("items"), found},
                         {QLatin1String("has_more"), false},
                         {QLatin1String("as_of"), revision_}})};
  }

  http_reply Watch(std::unique_lock<std::mutex>& lock,
                   const QString& prefix,
                   qint64 after,
                   milliseconds wait) {
    const time_point until = clock_type::now() + wait;
    while (true) {
      while (!history_.empty() &&
             clock_type::now() - history_.front().at > kRetention) {
        dropped_ = history_.front().revision;
        history_.erase(history_.begin());
      }
      if (after < dropped_) {
        return {410};
      }
      QJsonArray events;
      for (const auto& [revision, at, item] : history_) {
        if (revision > after &&
            item[QLatin1String("key")].toString().startsWith(prefix)) {
          events.append(item);
        }
      }
      if (!events.isEmpty() || clock_type::now() >= until) {
        return {200, ToText({{QLatin1String("events"), events},
                             {QLatin1String("as_of"), revision_}})};
      }
      changed_.wait_until(lock, until);
    }
  }

  http_reply Transact(const QJsonObject& body) {
    QJsonArray present;
    bool matches = true;
    const QJsonArray expected = body[QLatin1String("expected")].toArray();
    for (const auto& row : expected) {
      const QString key = row.toObject()[QLatin1String("key")].toString();
      const auto found = items_.find(key);
      const QJsonObject item =
          found != items_.end() ? found->second
                                : QJsonObject{{QLatin1String("key"), key},
                                              {QLatin1String("revision"), 0}};
      present.append(item);
      matches &= item[QLatin1String("revision")].toInteger() ==
                 row.toObject()[QLatin1String("revision")].toInteger();
    }
    if (!matches) {
      return {412, ToText({{QLatin1String("items"), present}})};
    }
    const QJsonArray puts = body[QLatin1String("puts")].toArray();
    for (const auto& put : puts) {
      const qint64 id = put.toObject()[QLatin1String("lease")].toInteger();
      if (id != 0 && !leases_.contains(id)) {
        return {404};
      }
    }
    for (const auto& put : puts) {
      const QJsonObject item = put.toObject();
      PutBytes(item[QLatin1String("key")].toString(),
               item[QLatin1String("value")].toString().toLatin1(),
               item[QLatin1String("lease")].toInteger());
    }
    const QJsonArray deleted = body[QLatin1String("delete")].toArray();
    for (const auto& key : deleted) {
      Remove(key.toString());
    }
    return {200, ToText({{QLatin1String("revision"), revision_}})};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  qint64 revision_ = 100;
  qint64 last_lease_ = 0;
  std::map<QString, QJsonObject> items_;
  std::map<qint64, lease> leases_;
  std::vector<change> history_;
  qint64 dropped_ = 0;  // Newest revision that the history has no more.
};

// A sound minion: runs tasks under leases, lists their ends and sends
// heartbeats to the agent beside it. The work of a task stands in its spec.
class minion_standin {
 public:
  minion_standin(std::string id,
                 std::string zone,
                 std::uint16_t port,
                 std::uint16_t agent_port,
                 recorder& record)
      : id_(std::move(id)),
        zone_(std::move(zone)),
        port_(port),
        agent_port_(agent_port),
        record_(record) {}

  bool Start() {
    if (!Serve(port_, [this](const http_message& request) {
          return Handle(request);
        })) {
      return false;
    }
    std::thread([this] { EndRuns(); }).detach();
    std::thread([this] { SendHeartbeats(); }).detach();
    return true;
  }

  const std::string& id() const { return id_; }
  std::uint16_t agent_port() const { return agent_port_; }
  const std::string& zone() const { return zone_; }
  // Starts later than `when`.
  int StartsAfter(time_point when) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<int>(
        std::count_if(starts_.begin(), starts_.end(),
                      [when](time_point start) { return start > when; }));
  }
  // Heartbeats that the agent has acknowledged.
  int acknowledged() const { return acknowledged_; }

  // A heartbeat of a minion on this machine.
  static QJsonObject Heartbeat(const std::string& service,
                               std::uint16_t port,
                               const std::string& zone,
                               qint64 clock_ms,
                               qint64 born,
                               qint64 sequence) {
    return {{QLatin1String("service"), QString::fromStdString(service)},
            {QLatin1String("address"),
             QString::fromStdString("127.0.0.1:" + std::to_string(port))},
            {QLatin1String("zone"), QString::fromStdString(zone)},
            {QLatin1String("version"), QLatin1String("v1")},
            {QLatin1String("capacity"), 8},
            {QLatin1String("state"), QLatin1String("ready")},
            {QLatin1String("cold_remaining_ms"), 0},
            {QLatin1String("headroom"),
             QJsonObject{{QLatin1String("cpu"), 16000},
                         {QLatin1String("mem_mb"), 65536},
                         {QLatin1String("gpu"), 0}}},
            {QLatin1String("labels"),
             QJsonArray{QLatin1String("a"), QLatin1String("r1-1")}},
            {QLatin1String("clock_ms"), clock_ms},
            {QLatin1String("born"), born},
            {QLatin1String("sequence"), sequence}};
  }

 private:
  using run_key = std::pair<QString, qint64>;  // Task and attempt.
  struct run {
    time_point begun;
    time_point done;
    time_point stopped = time_point::max();
    qint64 cpu = 0;
  };

  static constexpr qint64 kRoomCpu = 16000;
  static constexpr qint64 kTaskCpu = 1600;
  static constexpr milliseconds kMaxHold{1000};
  static constexpr milliseconds kStopTime{40};
  static constexpr milliseconds kHeartbeatInterval{1500};

  qint64 Clock() const {
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - begin_)
        .count();
  }

  QJsonObject WithClock(QJsonObject json) const {
    json.insert(QLatin1String("clock_ms"), Clock());
    json.insert(QLatin1String("born"), born_);
    return json;
  }

  http_reply Refuse(const char* reason) const {
    return {409, ToText(WithClock({{QLatin1String("reason"),
                                    QString::fromLatin1(reason)}}))};
  }

  http_reply Handle(const http_message& request) {
    const auto target = request.headers.find("x-target-instance");
    if (target != request.headers.end() && target->second != id_) {
      return {421};
    }
    const QJsonObject body = ToJson(request.body);
    std::unique_lock<std::mutex> lock(mutex_);
    const qint64 token = body[QLatin1String("fencing_token")].toInteger();
    if (token < token_) {
      return Refuse("fence");
    }
    token_ = token;
    if (request.path == "/v1/run-start") {
      return StartRun(body);
    }
    const run_key key{body[QLatin1String("task")].toString(),
                      body[QLatin1String("attempt")].toInteger()};
    if (request.path == "/v1/run-stop") {
      qint64& newest = newest_[key.first];
      newest = std::max(newest, key.second);
      if (const auto found = runs_.find(key); found != runs_.end()) {
        found->second.stopped =
            std::min(found->second.stopped, clock_type::now() + kStopTime);
      }
      return {200, ToText(WithClock({}))};
    }
    return request.path == "/v1/hold" ? Hold(lock, body) : http_reply{404};
  }

  void ExtendLease(const QJsonObject& body) {
    lease_end_ = std::max(
        lease_end_, std::min(body[QLatin1String("deadline_ms")].toInteger(),
                             Clock() + qint64{kMaxHold.count()}));
  }

  http_reply StartRun(const QJsonObject& body) {
    if (body[QLatin1String("deadline_ms")].toInteger() < Clock()) {
      return Refuse("late");
    }
    ExtendLease(body);
    const run_key key{body[QLatin1String("task")].toString(),
                      body[QLatin1String("attempt")].toInteger()};
    if (runs_.contains(key)) {
      return {200, ToText(WithClock({}))};
    }
    qint64& newest = newest_[key.first];
    if (key.second <= newest) {
      return Refuse("old");
    }
    if (qint64(runs_.size() + 1) * kTaskCpu > kRoomCpu) {
      return Refuse("room");
    }
    newest = key.second;
    const QString spec = body[QLatin1String("spec")].toString();
    const time_point now = clock_type::now();
    runs_[key] = {now, now + milliseconds(std::max(spec.toInt(), 1))};
    starts_.push_back(now);
    Record("start", key);
    return {200, ToText(WithClock({}))};
  }

  http_reply Hold(std::unique_lock<std::mutex>& lock, const QJsonObject& body) {
    if (body.contains(QLatin1String("deadline_ms")) && !runs_.empty()) {
      ExtendLease(body);
    }
    const qint64 cursor = body[QLatin1String("ack_cursor")].toInteger();
    while (!ends_.empty() && ends_.begin()->first <= cursor) {
      ends_.erase(ends_.begin());
    }
    const time_point until =
        clock_type::now() +
        milliseconds(body[QLatin1String("wait_ms")].toInteger());
    ended_.wait_until(lock, until, [this] { return !ends_.empty(); });
    QJsonArray running;
    const time_point now = clock_type::now();
    for (const auto& [key, item] : runs_) {
      const double share =
          std::chrono::duration<double>(now - item.begun) /
          std::chrono::duration<double>(item.done - item.begun);
      running.append(
          QJsonArray{key.first, key.second, QString(),
                     static_cast<int>(std::clamp(share * 100, 0.0, 100.0))});
    }
    QJsonArray finished;
    for (const auto& [number, end] : ends_) {
      if (finished.size() == 500) {
        break;
      }
      finished.append(end);
    }
    return {200, ToText(WithClock({{QLatin1String("running"), running},
                                   {QLatin1String("finished"), finished}}))};
  }

  void Record(const std::string& what, const run_key& key) {
    record_.Write("minion " + id_ + " " + what +
                  " task=" + key.first.toStdString() +
                  " attempt=" + std::to_string(key.second));
  }

  void EndRuns() {
    while (true) {
      std::this_thread::sleep_for(milliseconds(5));
      const std::lock_guard<std::mutex> lock(mutex_);
      const time_point now = clock_type::now();
      const bool lapsed = Clock() > lease_end_;
      for (auto it = runs_.begin(); it != runs_.end();) {
        const run& item = it->second;
        const char* const how = lapsed                ? "lapsed"
                                : item.done <= now    ? "done"
                                : item.stopped <= now ? "stopped"
                                                      : nullptr;
        if (how == nullptr) {
          ++it;
          continue;
        }
        Record(how, it->first);
        ++last_end_;
        ends_[last_end_] =
            QJsonArray{last_end_, it->first.first, it->first.second,
                       QString::fromLatin1(how), QString()};
        it = runs_.erase(it);
        ended_.notify_all();
      }
    }
  }

  void SendHeartbeats() {
    while (true) {
      const std::string body = ToText(
          Heartbeat(kService, port_, zone_, Clock(), born_, ++sequence_));
      const auto answer =
          Call(agent_port_, "PUT", "/v1/instances/" + id_,
               "Host: 127.0.0.1\r\n", body, std::chrono::seconds(1));
      if (answer && answer->status == 200) {
        ++acknowledged_;
      }
      std::this_thread::sleep_for(kHeartbeatInterval);
    }
  }

 public:
  static constexpr char kService[] = "huvo11a";

 private:
  const std::string id_;
  const std::string zone_;
  const std::uint16_t port_;
  const std::uint16_t agent_port_;
  recorder& record_;
  const time_point begin_ = clock_type::now();
  const qint64 born_ = UnixMillis();
  qint64 sequence_ = 0;
  std::atomic<int> acknowledged_ = 0;
  std::mutex mutex_;
  std::condition_variable ended_;
  qint64 token_ = 0;
  qint64 lease_end_ = 0;
  qint64 last_end_ = 0;
  std::map<run_key, run> runs_;
  std::vector<time_point> starts_;
  std::map<QString, qint64> newest_;
  std::map<qint64, QJsonArray> ends_;
};

}  // namespace review2
