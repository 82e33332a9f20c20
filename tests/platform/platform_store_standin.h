#ifndef TESTS_PLATFORM_PLATFORM_STORE_STANDIN_H_
#define TESTS_PLATFORM_PLATFORM_STORE_STANDIN_H_

#include <QHostAddress>
#include <QHttpServer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QJsonValue>
#include <QUrlQuery>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jayrill::platform {

/// A stand-in for the platform's store with keys, transactions and watches. It
/// can refuse every request, lose the answer to a write that took effect, and
/// drop its history. A watch answers at once instead of waiting for a change.
class platform_store_standin {
 public:
  platform_store_standin() {
    using method = QHttpServerRequest::Method;
    server_.route(
        QStringLiteral("/v1/kv-range"), method::Get,
        [this](const QHttpServerRequest& request) { return Range(request); });
    server_.route(
        QStringLiteral("/v1/kv-key"), method::Get,
        [this](const QHttpServerRequest& request) { return Key(request); });
    server_.route(
        QStringLiteral("/v1/kv-watch"), method::Get,
        [this](const QHttpServerRequest& request) { return Watch(request); });
    server_.route(QStringLiteral("/v1/kv-txn"), method::Post,
                  [this](const QHttpServerRequest& request,
                         QHttpServerResponder&& responder) {
                    Txn(request, std::move(responder));
                  });
    port_ = server_.listen(QHostAddress::LocalHost);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::uint16_t port() const { return port_; }
  std::uint64_t revision() const { return revision_; }

  /// While set, a watch shows each version of an item that was written after
  /// this call, as the platform's store does; otherwise only the last one.
  void SetKeepsVersions(bool keeps) { keeps_versions_ = keeps; }
  /// While down, every request is answered with status 503.
  void SetDown(bool down) { down_ = down; }
  /// While set, reads are answered with status 200 and a body that is not
  /// JSON.
  void SetUnreadable(bool unreadable) { unreadable_ = unreadable; }
  /// While set, a list says after each page that there are more, and the next
  /// page is the same one.
  void SetRepeatingPages(bool repeating) { repeating_pages_ = repeating; }
  /// Lists have at most \p items a page from now on. Calls \p between once,
  /// after the first page of the next list.
  void SetPages(int items, std::function<void()> between) {
    items_per_page_ = items;
    between_pages_ = std::move(between);
  }
  int pages_read() const { return pages_read_; }
  /// \returns the number of lists that were refused while down.
  int refused() const { return refused_; }
  /// The next transaction takes effect but is not answered.
  void LoseNextAnswer() { lose_answer_ = true; }
  /// A watch from an older revision is answered with status 410 from now on.
  void DropHistory() { history_begin_ = revision_; }

  void Put(const std::string& key, const std::string& value) {
    items_[key] = {value, ++revision_, QJsonValue::Undefined};
    history_[revision_] = key;
    if (keeps_versions_) {
      versions_[revision_] = ToJson(key);
    }
  }
  /// Changes \p key so that reads show \p shown as its item.
  void PutOdd(const std::string& key, const QJsonValue& shown) {
    Put(key, "");
    items_[key].shown = shown;
  }
  void Delete(const std::string& key) {
    items_.erase(key);
    history_[++revision_] = key;
  }

 private:
  using response = QHttpServerResponse;

  struct item {
    std::string value;
    std::uint64_t revision = 0;
    QJsonValue shown = QJsonValue::Undefined;  ///< Replaces what reads show.
  };

  static response Status(int code) {
    return response(static_cast<response::StatusCode>(code));
  }

  QJsonValue ToJson(const std::string& key) const {
    const item& found = items_.at(key);
    if (!found.shown.isUndefined()) {
      return found.shown;
    }
    return QJsonObject{
        {QStringLiteral("key"), QString::fromStdString(key)},
        {QStringLiteral("value"),
         QString::fromLatin1(
             QByteArray::fromStdString(found.value).toBase64())},
        {QStringLiteral("revision"), static_cast<qint64>(found.revision)}};
  }

  static response Unreadable() {
    return response(QByteArrayLiteral("text/plain"),
                    QByteArrayLiteral("{\"it"));
  }

  response Key(const QHttpServerRequest& request) {
    const std::string key =
        request.query().queryItemValue(QStringLiteral("key")).toStdString();
    if (down_) {
      return Status(503);
    }
    if (unreadable_) {
      return Unreadable();
    }
    return items_.contains(key) ? response(ToJson(key).toObject())
                                : Status(404);
  }

  response Range(const QHttpServerRequest& request) {
    if (down_) {
      ++refused_;
      return Status(503);
    }
    if (unreadable_) {
      return Unreadable();
    }
    const std::string prefix =
        request.query().queryItemValue(QStringLiteral("prefix")).toStdString();
    ++pages_read_;
    const std::string after =
        request.query().queryItemValue(QStringLiteral("after")).toStdString();
    QJsonArray items;
    bool has_more = repeating_pages_;
    for (const auto& [key, found] : items_) {
      if (!key.starts_with(prefix) || (key <= after && !repeating_pages_)) {
        continue;
      }
      if (items.size() == items_per_page_) {
        has_more = true;
        break;
      }
      items.append(ToJson(key));
    }
    const QJsonObject page{
        {QStringLiteral("items"), items},
        {QStringLiteral("has_more"), has_more},
        {QStringLiteral("as_of"), static_cast<qint64>(revision_)}};
    if (has_more && between_pages_) {
      std::exchange(between_pages_, {})();
    }
    return page;
  }

  response Watch(const QHttpServerRequest& request) {
    if (down_) {
      return Status(503);
    }
    if (unreadable_) {
      return Unreadable();
    }
    const std::string prefix =
        request.query().queryItemValue(QStringLiteral("prefix")).toStdString();
    const auto after =
        request.query().queryItemValue(QStringLiteral("after")).toULongLong();
    if (after < history_begin_) {
      return Status(410);
    }
    QJsonArray events;
    for (auto it = history_.upper_bound(after); it != history_.end(); ++it) {
      if (!it->second.starts_with(prefix)) {
        continue;
      }
      const auto version = versions_.find(it->first);
      if (version != versions_.end()) {
        events.append(version->second);
        continue;
      }
      const auto found = items_.find(it->second);
      if (found != items_.end() && found->second.revision == it->first) {
        events.append(ToJson(it->second));
      } else if (found == items_.end()) {
        events.append(QJsonObject{
            {QStringLiteral("key"), QString::fromStdString(it->second)},
            {QStringLiteral("revision"), static_cast<qint64>(it->first)},
            {QStringLiteral("deleted"), true}});
      }
    }
    return QJsonObject{
        {QStringLiteral("events"), events},
        {QStringLiteral("as_of"), static_cast<qint64>(revision_)}};
  }

  void Txn(const QHttpServerRequest& request,
           QHttpServerResponder&& responder) {
    using status = QHttpServerResponder::StatusCode;
    if (down_) {
      responder.write(status::ServiceUnavailable);
      return;
    }
    const QJsonObject body = QJsonDocument::fromJson(request.body()).object();
    QJsonArray conflicts;
    const QJsonArray expected =
        body.value(QStringLiteral("expected")).toArray();
    for (const auto& value : expected) {
      const QJsonObject row = value.toObject();
      const std::string key =
          row.value(QStringLiteral("key")).toString().toStdString();
      const auto found = items_.find(key);
      const std::uint64_t current_revision =
          found == items_.end() ? 0 : found->second.revision;
      if (current_revision !=
          static_cast<std::uint64_t>(
              row.value(QStringLiteral("revision")).toDouble())) {
        conflicts.append(found == items_.end() ? QJsonValue(QJsonObject())
                                               : ToJson(key));
      }
    }
    if (!conflicts.isEmpty()) {
      const QJsonObject found{{QStringLiteral("items"), conflicts}};
      responder.write(QJsonDocument(found), status::PreconditionFailed);
      return;
    }
    const QJsonArray puts = body.value(QStringLiteral("puts")).toArray();
    for (const auto& value : puts) {
      const QJsonObject row = value.toObject();
      Put(row.value(QStringLiteral("key")).toString().toStdString(),
          QByteArray::fromBase64(
              row.value(QStringLiteral("value")).toString().toLatin1())
              .toStdString());
    }
    if (lose_answer_) {
      lose_answer_ = false;
      unanswered_.push_back(std::move(responder));
      return;
    }
    const QJsonObject done{
        {QStringLiteral("revision"), static_cast<qint64>(revision_)}};
    responder.write(QJsonDocument(done), status::Ok);
  }

  QHttpServer server_;
  // Responders of transactions that stay unanswered.
  std::vector<QHttpServerResponder> unanswered_;
  quint16 port_ = 0;
  bool down_ = false;
  bool unreadable_ = false;
  bool lose_answer_ = false;
  bool repeating_pages_ = false;
  int pages_read_ = 0;
  int items_per_page_ = 500;
  std::function<void()> between_pages_;
  int refused_ = 0;
  std::uint64_t revision_ = 1;
  std::uint64_t history_begin_ = 0;
  std::map<std::string, item> items_;
  bool keeps_versions_ = false;
  std::map<std::uint64_t, std::string> history_;  // Changed key by revision.
  std::map<std::uint64_t, QJsonValue> versions_;  // Items by revision.
};

}  // namespace jayrill::platform

#endif  // TESTS_PLATFORM_PLATFORM_STORE_STANDIN_H_
