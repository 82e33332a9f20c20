#ifndef JAYRILL_AGENT_RUN_CONTROL_H_
#define JAYRILL_AGENT_RUN_CONTROL_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/agent/announcement.h"
#include "jayrill/base/error.h"

namespace jayrill {

/// A time on the clock of a minion.
using minion_time = std::chrono::milliseconds;

/// Names one run of a task at a minion.
struct run_name {
  std::string job;
  std::uint32_t task = 0;
  /// Grows with each start of the task; the minion refuses a run that is not
  /// above one that has ended or was stopped there.
  std::uint32_t attempt = 1;

  auto operator<=>(const run_name&) const = default;

  bool IsSameTask(const run_name& other) const {
    return job == other.job && task == other.task;
  }
};

/// What a minion makes of an order to start a run.
enum class start_answer {
  kStarted,     ///< Runs now, or ran already.
  kFenced,      ///< The fencing token is below one that the minion has seen.
  kSuperseded,  ///< The attempt is not above one that has ended there.
  kExpired,     ///< The lease of the order has passed.
  kNoRoom,
  kInvalid,    ///< The order is malformed.
  kUnhealthy,  ///< The minion has done nothing.
  kLost,       ///< No answer; the order may be carried out at any time.
};

/// How a run has ended.
enum class run_end { kDone, kFailed, kStopped, kLapsed };

/// A run that is present at the minion.
struct held_run {
  run_name run;
  std::uint32_t percent = 0;  ///< Of its work that is done.

  auto operator<=>(const held_run&) const = default;
};

/// A run that has ended; listed until it is acknowledged.
struct ended_run {
  std::uint64_t sequence = 0;  ///< Grows within one life of the minion.
  run_name run;
  run_end how = run_end::kStopped;

  auto operator<=>(const ended_run&) const = default;
};

/// State of the runs of a minion.
struct run_report {
  std::uint64_t life = 0;  ///< Differs for each start of the minion.
  minion_time clock{};
  std::vector<held_run> running;
  std::vector<ended_run> ended;

  auto operator<=>(const run_report&) const = default;
};

/// Order to start a run.
struct run_order {
  run_name run;
  std::string payload;
  std::uint64_t fencing_token = 0;
  minion_time lease_until{};

  auto operator<=>(const run_order&) const = default;
};

/// Request for a report, which also renews the lease of all runs.
struct renewal {
  std::uint64_t fencing_token = 0;
  std::optional<minion_time> lease_until;  ///< Nothing: no renewal.
  std::uint64_t acknowledged = 0;          ///< Ends up to this are forgotten.
  std::chrono::milliseconds wait{};        ///< The answer may wait for an end.

  auto operator<=>(const renewal&) const = default;
};

/// Port to a minion that keeps runs under a lease.
///
/// All calls return at once. Each callback runs later on the same thread,
/// exactly once, unless the port is destroyed first.
class run_control {
 public:
  virtual ~run_control() = default;

  /// Sends all further calls to \p minion.
  virtual void SetMinion(const announcement& minion) = 0;

  virtual void Start(const run_order& order,
                     std::function<void(start_answer)> done) = 0;

  /// Stops a run, and fences it when it has not arrived yet. \p done tells
  /// whether the minion has acknowledged.
  virtual void Stop(const run_name& run,
                    std::uint64_t fencing_token,
                    std::function<void(start_answer)> done) = 0;

  virtual void Renew(const renewal& request,
                     std::function<void(result<run_report>)> done) = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_RUN_CONTROL_H_
