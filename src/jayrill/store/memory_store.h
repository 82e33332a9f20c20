#ifndef JAYRILL_STORE_MEMORY_STORE_H_
#define JAYRILL_STORE_MEMORY_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/store/scheduler.h"
#include "jayrill/store/store.h"

namespace jayrill {

/// Fault and delays of one call to a memory_store, for tests.
struct store_fault {
  enum class kind {
    kNone,
    kRefused,      ///< Has no effect; the caller gets kUnavailable.
    kAnswerLost,   ///< Takes effect; the caller gets kUnknownOutcome.
    kRequestLost,  ///< Has no effect; the caller gets kUnknownOutcome.
  };

  kind what = kind::kNone;
  std::chrono::milliseconds apply_after{};  ///< From the call to its effect.
  /// From the call to its answer. With kAnswerLost it may be shorter than
  /// apply_after: the caller times out before the write takes effect.
  std::chrono::milliseconds answer_after{};
};

/// Store in the memory of this process, for standalone use and tests. Its
/// content is lost when the process ends.
///
/// Must be used on the thread that creates it only. The scheduler and the clock
/// must outlive it. Watches may outlive it; they then report nothing more.
class memory_store final : public store {
 public:
  /// Kind of call, for fault plans and counters.
  enum class operation { kGet, kList, kSwap, kGrant, kKeepAlive };
  using fault_plan = std::function<store_fault(operation)>;

  memory_store(scheduler& timers, const clock& time);
  ~memory_store() override;

  /// Calls \p plan for each later call to get its fault; null means no faults.
  /// For reads, which have no effect, a lost answer or request is reported as
  /// kUnavailable.
  void set_fault_plan(fault_plan plan) { plan_ = std::move(plan); }

  /// While the store is down, calls fail with kUnavailable and watches are
  /// interrupted.
  void set_down(bool down);

  /// \returns the number of calls so far, without watches.
  std::uint64_t calls() const { return calls_; }

  void Get(std::string key, callback<std::optional<store_entry>> done) override;
  void List(std::string prefix,
            callback<std::vector<store_entry>> done) override;
  void CompareAndSwap(std::string key,
                      store_revision expected,
                      std::optional<std::string> value,
                      std::optional<lease_id> lease,
                      callback<swap_result> done) override;
  void GrantLease(std::chrono::seconds ttl, callback<lease_id> done) override;
  void KeepAlive(lease_id lease, callback<std::chrono::seconds> done) override;
  std::unique_ptr<watch_handle> Watch(std::string prefix,
                                      watch_listener listener) override;

 private:
  class watch;

  struct record {
    std::string value;
    store_revision revision;
    std::optional<lease_id> lease;
  };
  struct lease_state {
    std::chrono::seconds ttl{};
    steady_time end;
  };

  /// Runs \p effect and answers \p done as the fault plan says.
  template <typename T>
  void Call(operation what,
            std::function<result<T>()> effect,
            callback<T> done);
  std::optional<store_entry> Find(const std::string& key) const;
  result<swap_result> Swap(const std::string& key,
                           store_revision expected,
                           std::optional<std::string> value,
                           std::optional<lease_id> lease);
  void ScheduleExpiry(lease_id id);
  void EndLease(lease_id id);
  /// Makes every watch report the changes since its last report.
  void SyncWatches();

  scheduler& timers_;
  const clock& clock_;
  fault_plan plan_;
  bool down_ = false;
  std::uint64_t calls_ = 0;
  store_revision revision_;
  std::uint64_t next_lease_ = 1;
  std::map<std::string, record> records_;
  std::map<lease_id, lease_state> leases_;
  std::vector<watch*> watches_;
  callback_guard guard_;
};

}  // namespace jayrill

#endif  // JAYRILL_STORE_MEMORY_STORE_H_
