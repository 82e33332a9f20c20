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

/// A time on the clock of a minion, which starts from zero with each restart.
using minion_time = std::chrono::milliseconds;

/// Identifies one run of a task on a minion.
struct run_name {
  std::string job;
  std::uint32_t task = 0;
  /// Grows with each start of the task. The minion refuses an attempt that is
  /// not higher than the last one that ended or was stopped there.
  std::uint32_t attempt = 1;

  auto operator<=>(const run_name&) const = default;

  bool IsSameTask(const run_name& other) const {
    return job == other.job && task == other.task;
  }
};

/// Answer of a minion to an order to start or stop a run.
enum class order_answer {
  kAccepted,    ///< The run is there; for a stop: the stop is acknowledged.
  kFenced,      ///< The fencing token is below one that the minion has seen.
  kSuperseded,  ///< The attempt is not above one that ended or was stopped.
  kExpired,     ///< The lease of the order has expired.
  kNoRoom,      ///< The minion has no resources left for the run.
  kInvalid,     ///< The order is malformed.
  kUnhealthy,   ///< The minion refused it or was not reached; no effect.
  kLost,        ///< No answer; the order may still be carried out later.
};

/// Whether what answers at an address is the minion that was asked for.
enum class identity_answer {
  kSame,     ///< It is that instance in that life.
  kOther,    ///< It is something else.
  kUnknown,  ///< There is no answer that tells.
};

/// How a run has ended; kLapsed: its lease has expired.
enum class run_end { kDone, kFailed, kStopped, kLapsed };

/// A run that the minion lists as running.
struct active_run {
  run_name run;
  std::uint32_t percent = 0;  ///< Progress, 0 to 100.

  auto operator<=>(const active_run&) const = default;
};

/// A run that has ended; reported until it is acknowledged.
struct ended_run {
  std::uint64_t sequence = 0;  ///< Grows until the minion restarts.
  run_name run;
  run_end how = run_end::kStopped;

  auto operator<=>(const ended_run&) const = default;
};

/// The runs of a minion as it reports them.
struct run_report {
  /// Incarnation of the minion; grows with each start.
  std::uint64_t life = 0;
  minion_time clock{};
  std::vector<active_run> running;
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
  std::optional<minion_time> lease_until;  ///< Empty: the lease stays as it is.
  /// The minion need not report ended runs up to this sequence number again.
  std::uint64_t acknowledged = 0;
  /// How long the minion may hold the answer back until a run ends.
  std::chrono::milliseconds wait{};

  auto operator<=>(const renewal&) const = default;
};

/// Sends orders to a minion that ends its runs when their lease expires.
///
/// All calls return at once. Each callback runs later on the thread of the
/// caller, exactly once, unless the run_control is destroyed first.
class run_control {
 public:
  virtual ~run_control() = default;

  /// Asks the address of \p minion whether it is that instance in that life,
  /// without any effect on its runs. \p done receives an error of kind
  /// kConflict when the minion has seen a higher token than \p fencing_token.
  /// Later calls go where they went before.
  virtual void Identify(const announcement& minion,
                        std::uint64_t fencing_token,
                        std::function<void(result<identity_answer>)> done) = 0;

  /// Sends all further calls to \p minion.
  virtual void SetMinion(const announcement& minion) = 0;

  virtual void Start(const run_order& order,
                     std::function<void(order_answer)> done) = 0;

  /// Stops \p run. If the order to start it has not arrived yet, the minion
  /// refuses that order when it arrives. \p done receives kAccepted when the
  /// minion has acknowledged the stop.
  virtual void Stop(const run_name& run,
                    std::uint64_t fencing_token,
                    std::function<void(order_answer)> done) = 0;

  /// Renews the lease and fetches a report.
  virtual void Renew(const renewal& request,
                     std::function<void(result<run_report>)> done) = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_RUN_CONTROL_H_
