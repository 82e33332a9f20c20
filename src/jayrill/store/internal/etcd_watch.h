#ifndef JAYRILL_STORE_INTERNAL_ETCD_WATCH_H_
#define JAYRILL_STORE_INTERNAL_ETCD_WATCH_H_

#include <QByteArray>
#include <QNetworkReply>
#include <QPointer>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jayrill/store/internal/etcd_client.h"
#include "jayrill/store/scheduler.h"
#include "jayrill/store/store.h"

namespace jayrill::store_internal {

/// One watch: lists the prefix, then follows a stream of changes from the
/// revision of the list. After an interruption it lists again and reports the
/// differences.
///
/// The stream alone cannot confirm once per second that the watch is up to
/// date: the store sends progress messages only every few minutes, and the JSON
/// form has no way to request one. The watch therefore probes: it reads the
/// revisions of the keys, without their values, and confirms when they are the
/// ones that it has reported. The read is linearizable, so the watch was up to
/// date when the read was sent. Cost: 1.25 reads per second for each watch,
/// 0.25 when the listener has no on_confirmed.
class etcd_watch final : public store::watch_handle {
 public:
  etcd_watch(std::shared_ptr<etcd_client> client,
             scheduler& timers,
             std::string prefix,
             store::watch_listener listener);
  ~etcd_watch() override;

 private:
  void List();
  void OnList(const result<etcd_answer>& answer);
  void OpenStream(store_revision from);
  void OnStreamData();
  void OnStreamLine(const QByteArray& line);
  void Confirm();
  void ScheduleProbe();
  void Probe();
  void OnProbe(const result<etcd_answer>& answer);
  /// \returns true when \p entries have the keys and revisions that were
  /// reported.
  bool IsCurrent(const std::vector<store_entry>& entries) const;
  /// Closes the stream and lists again after a delay, at the next endpoint.
  void Interrupt(const error& failure);
  void CloseStream();
  /// Reports \p event unless it was reported before.
  /// \returns false when the listener has destroyed this watch.
  bool Report(const store_event& event);

  std::shared_ptr<etcd_client> client_;
  scheduler& timers_;
  std::string prefix_;
  store::watch_listener listener_;
  std::map<std::string, store_revision> reported_;  ///< Keys that exist.
  QPointer<QNetworkReply> stream_;
  QByteArray buffer_;      ///< Incomplete line of the stream.
  int mismatches_ = 0;     ///< Consecutive probes that differed.
  bool starting_ = false;  ///< No stream yet; a list is due or in flight.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  callback_guard guard_;
};

}  // namespace jayrill::store_internal

#endif  // JAYRILL_STORE_INTERNAL_ETCD_WATCH_H_
