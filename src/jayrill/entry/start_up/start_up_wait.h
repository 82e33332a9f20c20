#ifndef JAYRILL_ENTRY_START_UP_START_UP_WAIT_H_
#define JAYRILL_ENTRY_START_UP_START_UP_WAIT_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

#include "jayrill/base/clock.h"
#include "jayrill/entry/refusal.h"

namespace jayrill {

/// Longest time that an entry waits for agents to connect after its start.
inline constexpr std::chrono::milliseconds kMaxAgentWait{1000};

/// The wait for agents ends early when no further agent has connected for this
/// long. Without the wait, the first agents would get all the work.
inline constexpr std::chrono::milliseconds kAgentQuietTime{200};

/// Code of the refusal of a job that the agents which have connected so far
/// can't finish within its objective.
inline constexpr char kStartingCode[] = "starting";

/// What an entry that waits for agents knows of a job that arrives.
struct start_up_load {
  /// Run times of the job and of the waiting tasks that go before it, on the
  /// average minion.
  std::chrono::microseconds work{};
  /// Tasks that run at once on the minions known so far, in slots of the
  /// average minion.
  double capacity = 0;
  std::chrono::microseconds longest_task{};  ///< Of the job.
  /// Latency objective of the job; zero: it has none.
  std::chrono::microseconds objective{};

  auto operator<=>(const start_up_load&) const = default;
};

/// The wait of an entry for its first agents.
///
/// After a loss of power all entries and agents start at the same time, and
/// callers send jobs before all agents have connected. Most of these jobs
/// would miss their objective if they waited for the last agent. Those with
/// time to spare do wait, so that the work is spread.
///
/// Not thread-safe.
class start_up_wait {
 public:
  explicit start_up_wait(steady_time started) : started_(started) {}

  void OnAgentConnected(steady_time now) { last_connect_ = now; }

  /// \returns true when the entry no longer waits for agents.
  bool IsOver(steady_time now) const { return now >= End(); }

  /// \returns true when a task that has to start by \p latest_start to meet the
  /// objective of its job can't wait for more agents.
  bool IsDue(steady_time latest_start) const {
    return last_connect_ && latest_start < End();
  }

  /// \returns a refusal when the job of \p load can't meet its objective on the
  /// minions that are known. Without any, nothing is known of the wait, and the
  /// job is admitted.
  std::optional<refusal> Check(const start_up_load& load) const;

  /// \returns how long the entry has waited for agents; its wait must be over.
  std::chrono::milliseconds Duration() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(End() -
                                                                 started_);
  }

 private:
  /// \returns when the wait ends if no further agent connects.
  steady_time End() const;

  steady_time started_;
  std::optional<steady_time> last_connect_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_START_UP_START_UP_WAIT_H_
