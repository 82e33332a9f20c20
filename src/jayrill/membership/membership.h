#ifndef JAYRILL_MEMBERSHIP_MEMBERSHIP_H_
#define JAYRILL_MEMBERSHIP_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/membership/entry_record.h"
#include "jayrill/store/scheduler.h"
#include "jayrill/store/store.h"
#include "jayrill/store/watch_log.h"

namespace jayrill {

/// Keeps the record of this entry in the store under a lease and watches the
/// records of all entries.
///
/// Used on the thread of the store. While the store is down, the last known
/// entries stay listed. Load on the store: one keepalive per 3 s, at most one
/// write of the record per 5 s, and one watch.
class membership {
 public:
  using view_function = std::function<void(const std::vector<entry_record>&)>;

  static constexpr std::chrono::seconds kLeaseTtl{10};
  static constexpr std::chrono::seconds kKeepAliveInterval{3};
  static constexpr std::chrono::seconds kRecordInterval{5};

  /// How long a deleted record stays listed. After an outage of the store all
  /// leases have expired; without this delay, the entry that registers first
  /// would take the whole quota of every team.
  static constexpr std::chrono::seconds kRemovalDelay{3};

  /// Registers \p own_record. \p on_change gets the live entries, ordered by
  /// id, after each change. \p backing_store, \p timers and \p time must
  /// outlive this object.
  membership(store& backing_store,
             scheduler& timers,
             const clock& time,
             entry_record own_record,
             view_function on_change);
  ~membership();

  /// Replaces the record of this entry, which must keep its id. It is written
  /// to the store when kRecordInterval has passed since the last write.
  void Update(entry_record own_record);

  /// Deletes the record of this entry. \p done is called when the store has
  /// answered, also if the deletion failed; the record is then deleted when the
  /// lease expires.
  void Leave(const std::function<void()>& done);

  /// \returns the live entries, ordered by id, as of the last change.
  std::vector<entry_record> Entries() const;

  /// \returns the RPC addresses of the live entries.
  std::vector<std::string> RpcAddresses() const;

  /// \returns true when the store holds the record of this entry, as far as is
  /// known.
  bool is_registered() const { return !stored_text_.empty(); }

 private:
  struct known_entry {
    entry_record record;
    std::uint64_t version = 0;  ///< Increased by each event of the key.
  };

  void Tick();
  /// Begins the store call that is due, unless one is in flight.
  void StartNextCall();
  void RequestLease();
  void KeepAlive();
  void WriteRecord();
  void OnWrite(const std::string& text, const result<swap_result>& swap);
  /// Reads the revision of the key of this entry after a call whose effect is
  /// unknown.
  void ReadOwnRevision();
  void OnLeaseLost();
  void OnEvent(const store_event& event);
  /// Removes \p key from the view after kRemovalDelay unless it comes back.
  void ScheduleRemoval(const std::string& key);

  store& store_;
  scheduler& timers_;
  const clock& clock_;
  entry_record own_record_;
  std::string own_key_;
  view_function on_change_;
  bool call_in_flight_ = false;
  bool leaving_ = false;
  std::optional<lease_id> lease_;
  steady_time keep_alive_due_;
  steady_time record_due_;
  std::string stored_text_;  ///< Record as stored under the lease; empty: none.
  store_revision own_revision_;
  bool revision_known_ = true;
  std::map<std::string, known_entry> entries_;
  std::uint64_t next_version_ = 0;
  watch_log log_{"store", "entries"};
  std::unique_ptr<store::watch_handle> watch_;
  callback_guard guard_;
};

}  // namespace jayrill

#endif  // JAYRILL_MEMBERSHIP_MEMBERSHIP_H_
