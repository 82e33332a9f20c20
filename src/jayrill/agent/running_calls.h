#ifndef JAYRILL_AGENT_RUNNING_CALLS_H_
#define JAYRILL_AGENT_RUNNING_CALLS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "jayrill/agent/room_share.h"
#include "jayrill/agent/run_guard.h"
#include "jayrill/agent/run_pace.h"
#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"
#include "jayrill/job/resource_amount.h"

namespace jayrill {

/// A start that was passed on to the minion and still occupies a slot.
struct running_call {
  incarnation entry;
  std::uint64_t generation = 0;  ///< Session that the call belongs to.
  start_number number;
  std::string job_name;
  std::uint32_t task_index = 0;
  steady_time arrived;
  steady_time released;
  steady_time expected_end;
  std::chrono::milliseconds typical_run{};
  std::chrono::microseconds run_time{};  ///< 0: there is no result yet.
  resource_amount needs;
  bool stopped = false;  ///< Was stopped because its entry was silent.
  run_guard_ptr guard = {};
  bool is_order_lost = false;  ///< The order to start it had no answer.
  run_charge charge = {};
};

/// The calls that run on the minion, by numbers that are not used again.
///
/// Not thread-safe.
class running_calls {
 public:
  using call_check = std::function<bool(const running_call&)>;

  /// Adds \p call.
  /// \returns its number.
  std::uint64_t Add(running_call call);

  /// \returns the call \p number, or null when it does not run.
  running_call* Find(std::uint64_t number);

  /// Removes the call \p number; ignored when it does not run.
  void Remove(std::uint64_t number) { calls_.erase(number); }

  /// Closes the guards of the calls for which \p matches is true.
  /// \returns the numbers of these calls, which have yet to be stopped.
  std::vector<std::uint64_t> CloseGuards(const call_check& matches);

  /// Extends the guards of the calls of \p entry that belong to its session
  /// \p generation: the entry still waited for them at \p when.
  void ExtendGuards(incarnation entry,
                    std::uint64_t generation,
                    steady_time when);

  /// Records that the calls of \p entry were stopped because it was silent.
  void MarkStopped(incarnation entry);

  /// \returns true when a call of \p entry runs.
  bool HasCallOf(incarnation entry) const;

  /// \returns true when a call of \p entry runs that was not marked as stopped.
  bool HasUnstoppedCallOf(incarnation entry) const;

  /// \returns the expected remaining time of each call.
  std::vector<steady_duration> RemainingTimes(steady_time now) const;

  /// \returns the calls that have no result yet, without those whose order was
  /// lost: their time says nothing about the minion's speed.
  std::vector<run_pace::unfinished_run> UnfinishedRuns(steady_time now) const;

  std::size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }

 private:
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, running_call> calls_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_RUNNING_CALLS_H_
