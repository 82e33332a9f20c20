#pragma once

// A stand-in for the platform's store: keys, transactions, leases and watches.

#include <QJsonArray>
#include <QJsonObject>
#include <QTimer>
#include <QUrlQuery>
#include <algorithm>
#include <list>
#include <map>
#include <vector>

#include "http.hpp"

namespace review {

class store {
 public:
  store()
      : server_([this](const http_message& request, reply_function reply) {
          Handle(request, std::move(reply));
        }) {
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Tick(); });
    timer_.start(20);
    clock_.start();
  }

  QString Address() const { return server_.Address(); }

  void Put(const QString& key, const QByteArray& value, qint64 lease = 0) {
    const qint64 created = items_.contains(key)
                               ? items_[key].value(u"created").toInteger()
                               : revision_ + 1;
    items_[key] = {
        {QStringLiteral("key"), key},
        {QStringLiteral("value"), QString::fromLatin1(value.toBase64())},
        {QStringLiteral("revision"), ++revision_},
        {QStringLiteral("created"), created},
        {QStringLiteral("lease"), lease}};
    events_.push_back(items_[key]);
    AnswerWatches();
  }

  void Delete(const QString& key) {
    if (items_.erase(key) > 0) {
      events_.push_back({{QStringLiteral("key"), key},
                         {QStringLiteral("revision"), ++revision_},
                         {QStringLiteral("deleted"), true}});
      AnswerWatches();
    }
  }

 private:
  struct waiting_watch {
    QString prefix;
    qint64 after = 0;
    qint64 until = 0;
    reply_function reply;
  };
  struct lease {
    qint64 ttl_ms = 0;
    qint64 ends_at = 0;
  };

  void Handle(const http_message& request, reply_function reply) {
    const QString path = request.target.path();
    const QUrlQuery query(request.target);
    const auto value = [&](const char* name) {
      return query.queryItemValue(QLatin1String(name), QUrl::FullyDecoded);
    };
    if (path == u"/v1/kv-key") {
      const auto found = items_.find(value("key"));
      found == items_.end() ? reply(404, {}) : reply(200, found->second);
    } else if (path == u"/v1/kv-range") {
      QJsonArray listed;
      for (const auto& [key, item] : items_) {
        if (key.startsWith(value("prefix"))) {
          listed.append(item);
        }
      }
      reply(200, {{QStringLiteral("items"), listed},
                  {QStringLiteral("has_more"), false},
                  {QStringLiteral("as_of"), revision_}});
    } else if (path == u"/v1/kv-watch") {
      watches_.push_back({value("prefix"), value("after").toLongLong(),
                          clock_.elapsed() + value("wait_ms").toInt(),
                          std::move(reply)});
      AnswerWatches();
    } else if (path == u"/v1/kv-txn") {
      Transact(request.Json(), reply);
    } else if (path == u"/v1/kv-lease") {
      const qint64 ttl = request.Json().value(u"ttl_ms").toInteger();
      leases_[++last_lease_] = {ttl, clock_.elapsed() + ttl};
      reply(200, {{QStringLiteral("lease"), last_lease_},
                  {QStringLiteral("ttl_ms"), ttl}});
    } else if (path.startsWith(u"/v1/kv-keep/")) {
      const auto found = leases_.find(path.section(u'/', -1).toLongLong());
      if (found == leases_.end()) {
        reply(404, {});
        return;
      }
      found->second.ends_at = clock_.elapsed() + found->second.ttl_ms;
      reply(200, {{QStringLiteral("ttl_ms"), found->second.ttl_ms}});
    } else if (path.startsWith(u"/v1/kv-lease-end/")) {
      EndLease(path.section(u'/', -1).toLongLong());
      reply(200, {});
    } else {
      reply(404, {});
    }
  }

  void Transact(const QJsonObject& body, const reply_function& reply) {
    QJsonArray present;
    bool matches = true;
    for (const auto& entry : body.value(u"expected").toArray()) {
      const QString key = entry[u"key"].toString();
      const auto found = items_.find(key);
      const QJsonObject item =
          found == items_.end() ? QJsonObject{{QStringLiteral("key"), key},
                                              {QStringLiteral("revision"), 0}}
                                : found->second;
      present.append(item);
      matches = matches && item.value(u"revision").toInteger() ==
                               entry[u"revision"].toInteger();
    }
    if (!matches) {
      reply(412, {{QStringLiteral("items"), present}});
      return;
    }
    for (const auto& put : body.value(u"puts").toArray()) {
      const qint64 lease = put[u"lease"].toInteger();
      if (lease != 0 && !leases_.contains(lease)) {
        reply(404, {});
        return;
      }
      Put(put[u"key"].toString(),
          QByteArray::fromBase64(put[u"value"].toString().toLatin1()), lease);
    }
    for (const auto& key : body.value(u"delete").toArray()) {
      Delete(key.toString());
    }
    reply(200, {{QStringLiteral("revision"), revision_}});
  }

  void EndLease(qint64 id) {
    leases_.erase(id);
    std::vector<QString> keys;
    for (const auto& [key, item] : items_) {
      if (item.value(u"lease").toInteger() == id) {
        keys.push_back(key);
      }
    }
    for (const QString& key : keys) {
      Delete(key);
    }
  }

  void Tick() {
    std::vector<qint64> ended;
    for (const auto& [id, held] : leases_) {
      if (held.ends_at < clock_.elapsed()) {
        ended.push_back(id);
      }
    }
    for (const qint64 id : ended) {
      EndLease(id);
    }
    AnswerWatches();
  }

  void AnswerWatches() {
    watches_.remove_if([this](const waiting_watch& watch) {
      QJsonArray found;
      for (const QJsonObject& event : events_) {
        if (event.value(u"revision").toInteger() > watch.after &&
            event.value(u"key").toString().startsWith(watch.prefix)) {
          found.append(event);
        }
      }
      if (found.isEmpty() && clock_.elapsed() < watch.until) {
        return false;
      }
      watch.reply(200, {{QStringLiteral("events"), found},
                        {QStringLiteral("as_of"), revision_}});
      return true;
    });
  }

  std::map<QString, QJsonObject> items_;
  std::vector<QJsonObject> events_;
  std::list<waiting_watch> watches_;
  std::map<qint64, lease> leases_;
  qint64 revision_ = 10;
  qint64 last_lease_ = 0;
  QTimer timer_;
  QElapsedTimer clock_;
  http_server server_;
};

}  // namespace review
