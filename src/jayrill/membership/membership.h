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

inline constexpr char kEntriesPrefix[] = "/jayrill/entries/";

/// Keeps the record of this entry in the store under a lease and watches the
/// records of all entries.
///
/// Belongs to the thread of the store. While the store is down, the last view
/// stays. Cost: one keepalive per 3 s, at most one record per 5 s and one
/// watch.
class membership {
 public:
  using view_function = std::function<void(const std::vector<entry_record>&)>;

  static constexpr std::chrono::seconds kLeaseTtl{10};
  static constexpr std::chrono::seconds kKeepAliveInterval{3};
  static constexpr std::chrono::seconds kRecordInterval{5};

  /// How long a record that has vanished stays in the view. After an outage of
  /// the store all leases have ended, and an entry that came back first would
  /// else take the whole quota of every team.
  static constexpr std::chrono::seconds kRemovalDelay{3};

  /// Registers \p own. \p on_change gets the live entries by id after each
  /// change. \p backing, \p timers and \p time must outlive this object.
  membership(store& backing,
             scheduler& timers,
             const clock& time,
             entry_record own,
             view_function on_change);
  ~membership();

  /// Replaces the content of the own record; its id must stay. It is written
  /// with the next interval.
  void Update(entry_record own);

  /// Removes the own record; \p done is called when that was tried.
  void Leave(const std::function<void()>& done);

  /// \returns the live entries by id, as of the last change.
  std::vector<entry_record> Entries() const;

  /// \returns the RPC addresses of the live entries.
  std::vector<std::string> RpcAddresses() const;

  bool is_registered() const { return !written_.empty(); }

 private:
  struct known_entry {
    entry_record record;
    std::uint64_t version = 0;  ///< Grows with each event of the key.
  };

  void Tick();
  void Step();
  void Grant();
  void KeepAlive();
  void Write();
  void OnWrite(const std::string& text, const result<swap_result>& swap);
  void ReadBack();
  void LoseLease();
  void OnEvent(const store_event& event);
  void RemoveLater(const std::string& key);

  store& store_;
  scheduler& timers_;
  const clock& clock_;
  entry_record own_;
  std::string own_key_;
  view_function on_change_;
  bool busy_ = false;
  bool leaving_ = false;
  std::optional<lease_id> lease_;
  steady_time keep_alive_due_;
  steady_time record_due_;
  std::string written_;  ///< Record as stored under the lease; empty: none.
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
