#ifndef TESTS_SUPPORT_STORE_STANDIN_KV_STATE_H_
#define TESTS_SUPPORT_STORE_STANDIN_KV_STATE_H_

#include <QByteArray>
#include <QJsonObject>
#include <QObject>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace jayrill::standin {

/// Keys, leases and history of the stand-in store. Takes requests and returns
/// answers in the JSON form of etcd v3. Shares no code with memory_store and
/// etcd_store, so that tests reveal a fault in one of them as a difference.
class kv_state {
 public:
  /// One change of a key; all are kept, so that a watch can start at an earlier
  /// revision.
  struct change {
    QByteArray key;
    bool deleted = false;
    QByteArray value;
    std::int64_t revision = 0;
  };
  using change_listener = std::function<void(const change&)>;

  /// Answer to a call: the HTTP status and the body.
  struct answer {
    int status = 200;
    QJsonObject body;
  };

  explicit kv_state(change_listener on_change);

  answer Range(const QJsonObject& request) const;
  answer Txn(const QJsonObject& request);
  answer LeaseGrant(const QJsonObject& request);
  answer LeaseKeepAlive(const QJsonObject& request);

  QJsonObject Header() const;
  const std::vector<change>& history() const { return history_; }

  /// \returns true when \p key is in [\p begin, \p end). An empty end means the
  /// key \p begin only; an end of one zero byte means no upper bound.
  static bool InRange(const QByteArray& key,
                      const QByteArray& begin,
                      const QByteArray& end);

 private:
  struct record {
    QByteArray value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;  ///< Number of writes since it was created.
    std::int64_t lease = 0;    ///< 0 means none.
  };
  struct lease {
    std::int64_t ttl = 0;  ///< In seconds.
    std::int64_t end_ms = 0;
  };

  bool Compare(const QJsonObject& compare) const;
  bool HasLeases(const QJsonObject& request) const;
  QJsonObject Apply(const QJsonObject& operation);
  void Put(const QJsonObject& put);
  void Delete(const QByteArray& key);
  void ScheduleExpiry(std::int64_t id);
  void Expire(std::int64_t id);

  change_listener on_change_;
  std::int64_t revision_ = 1;
  std::int64_t next_lease_ = 7587000000000000001;
  std::map<QByteArray, record> records_;
  std::map<std::int64_t, lease> leases_;
  std::vector<change> history_;
  QObject timers_;
};

/// \returns \p kv as an event of the watch protocol.
QJsonObject ToJson(const kv_state::change& kv);

}  // namespace jayrill::standin

#endif  // TESTS_SUPPORT_STORE_STANDIN_KV_STATE_H_
