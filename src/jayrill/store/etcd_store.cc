#include "jayrill/store/etcd_store.h"

#include <QJsonArray>
#include <utility>

#include "jayrill/store/internal/etcd_client.h"
#include "jayrill/store/internal/etcd_json.h"
#include "jayrill/store/internal/etcd_watch.h"

namespace jayrill {

namespace {

// Version 14 of the linter sees using-declarations of literals as unused.
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace Qt::StringLiterals;
using store_internal::call_kind;
using store_internal::etcd_answer;

result<swap_result> ReadSwap(const etcd_answer& answer) {
  swap_result swap;
  swap.swapped = answer.json.value(u"succeeded"_s).toBool();
  if (swap.swapped) {
    swap.revision = store_internal::HeaderRevision(answer.json);
    return swap;
  }
  if (answer.times_sent > 1) {
    return MakeError(error_kind::kUnknownOutcome,
                     "store: the request was sent twice and the second one "
                     "found another revision",
                     "read the key back before the call is repeated");
  }
  const QJsonArray responses = answer.json.value(u"responses"_s).toArray();
  std::vector<store_entry> found = store_internal::Entries(
      responses.at(0).toObject().value(u"response_range"_s).toObject());
  if (!found.empty()) {
    swap.found = std::move(found.front());
  }
  return swap;
}

result<std::chrono::seconds> ReadKeepAlive(const etcd_answer& answer) {
  const std::chrono::seconds ttl(store_internal::Number(
      answer.json.value(u"result"_s).toObject(), u"TTL"_s));
  if (ttl.count() <= 0) {
    return MakeError(error_kind::kNotFound, "store: the lease has ended",
                     "grant a new lease");
  }
  return ttl;
}

}  // namespace

etcd_store::etcd_store(scheduler& timers, const options& settings)
    : timers_(timers),
      client_(std::make_shared<store_internal::etcd_client>(settings.endpoints,
                                                            settings.timeout)) {
}

etcd_store::~etcd_store() = default;

void etcd_store::Get(std::string key,
                     callback<std::optional<store_entry>> done) {
  client_->Post(
      u"/v3/kv/range"_s, store_internal::RangeOfKey(key), call_kind::kRead,
      [done = std::move(done)](const result<etcd_answer>& answer) {
        done(answer.map([](const etcd_answer& found) {
          std::vector<store_entry> entries =
              store_internal::Entries(found.json);
          return entries.empty() ? std::nullopt
                                 : std::optional(std::move(entries.front()));
        }));
      });
}

void etcd_store::List(std::string prefix,
                      callback<std::vector<store_entry>> done) {
  client_->Post(u"/v3/kv/range"_s, store_internal::RangeOfPrefix(prefix),
                call_kind::kRead,
                [done = std::move(done)](const result<etcd_answer>& answer) {
                  done(answer.map([](const etcd_answer& found) {
                    return store_internal::Entries(found.json);
                  }));
                });
}

void etcd_store::CompareAndSwap(std::string key,
                                store_revision expected,
                                std::optional<std::string> value,
                                std::optional<lease_id> lease,
                                callback<swap_result> done) {
  client_->Post(u"/v3/kv/txn"_s,
                store_internal::SwapRequest(key, expected, value, lease),
                call_kind::kWrite,
                [done = std::move(done)](const result<etcd_answer>& answer) {
                  done(answer.and_then(ReadSwap));
                });
}

void etcd_store::GrantLease(std::chrono::seconds ttl, callback<lease_id> done) {
  client_->Post(
      u"/v3/lease/grant"_s, {{u"TTL"_s, QString::number(ttl.count())}},
      call_kind::kWrite,
      [done = std::move(done)](const result<etcd_answer>& answer) {
        done(answer.map([](const etcd_answer& granted) {
          return lease_id{store_internal::Number(granted.json, u"ID"_s)};
        }));
      });
}

void etcd_store::KeepAlive(lease_id lease,
                           callback<std::chrono::seconds> done) {
  const QString id = QString::number(static_cast<qint64>(lease.value));
  client_->Post(u"/v3/lease/keepalive"_s, {{u"ID"_s, id}}, call_kind::kWrite,
                [done = std::move(done)](const result<etcd_answer>& answer) {
                  done(answer.and_then(ReadKeepAlive));
                });
}

std::unique_ptr<store::watch_handle> etcd_store::Watch(
    std::string prefix,
    watch_listener listener) {
  return std::make_unique<store_internal::etcd_watch>(
      client_, timers_, std::move(prefix), std::move(listener));
}

}  // namespace jayrill
