#ifndef JAYRILL_STORE_INTERNAL_ETCD_WATCH_H_
#define JAYRILL_STORE_INTERNAL_ETCD_WATCH_H_

#include <QByteArray>
#include <QNetworkReply>
#include <QPointer>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jayrill/store/internal/etcd_call.h"
#include "jayrill/store/scheduler.h"
#include "jayrill/store/store.h"

namespace jayrill::store_internal {

/// One watch: lists the prefix, then follows a stream from the revision of the
/// list. After an interruption it lists again and reports the differences.
///
/// The stream alone cannot confirm the view once a second: the store sends
/// progress messages only every few minutes, and the JSON form has no way to
/// ask for one. The watch therefore reads the revisions of the keys, without
/// their values, and confirms when they are the ones it has reported. That is
/// a linearizable read, so the view was current when the read was sent. Cost:
/// 1.25 reads a second for each watch, 0.25 when the listener wants no
/// confirmation.
class etcd_watch final : public store::watch_handle {
 public:
  etcd_watch(std::shared_ptr<etcd_client> client,
             scheduler& timers,
             std::string prefix,
             store::watch_listener listener);
  ~etcd_watch() override;

 private:
  void Start();
  void OnList(const result<etcd_answer>& answer);
  void OpenStream(store_revision from);
  void OnStreamData();
  void OnStreamLine(const QByteArray& line);
  void Confirm();
  void ScheduleProbe();
  void Probe();
  void OnProbe(const result<etcd_answer>& answer);
  bool IsCurrent(const std::vector<store_entry>& entries) const;
  void Interrupt(const error& failure);
  void CloseStream();
  /// \returns false when the listener has ended this watch.
  bool Report(const store_event& event);

  std::shared_ptr<etcd_client> client_;
  scheduler& timers_;
  std::string prefix_;
  store::watch_listener listener_;
  std::map<std::string, store_revision> seen_;
  QPointer<QNetworkReply> stream_;
  QByteArray buffer_;
  int mismatches_ = 0;
  bool starting_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  callback_guard guard_;
};

}  // namespace jayrill::store_internal

#endif  // JAYRILL_STORE_INTERNAL_ETCD_WATCH_H_
