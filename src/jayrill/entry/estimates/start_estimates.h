#ifndef JAYRILL_ENTRY_ESTIMATES_START_ESTIMATES_H_
#define JAYRILL_ENTRY_ESTIMATES_START_ESTIMATES_H_

#include <chrono>
#include <map>
#include <optional>

#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"
#include "jayrill/job/resource_amount.h"

namespace jayrill {

/// What an entry expects of the starts that it has outstanding at one minion:
/// when they end, and which resources they need until then.
///
/// Not thread-safe.
class start_estimates {
 public:
  /// Adds the start \p number, which is sent at \p now and is expected to end
  /// after \p run_time. Numbers must be added in ascending order.
  void Add(start_number number,
           steady_time now,
           std::chrono::duration<double, std::micro> run_time,
           const resource_amount& needs);

  /// Removes the start \p number; ignored when there is none.
  void Remove(start_number number);

  /// Removes the starts with a number above \p number.
  void RemoveAbove(start_number number);

  /// \returns the time from \p now until the first of the starts is expected to
  /// end, or nothing when there are none. That of an overdue start grows with
  /// the time by which it is overdue.
  std::optional<std::chrono::microseconds> TimeUntilFirstEnd(
      steady_time now) const;

  /// \returns the resources that all of the starts need.
  const resource_amount& needs() const { return needs_; }

 private:
  /// What is expected of one start. Its remaining time is never estimated as
  /// less than min_remaining.
  struct estimate {
    steady_time end = steady_time::max();
    std::chrono::microseconds min_remaining{};
    resource_amount needs;
  };

  /// \returns the least expected remaining time of the starts, some of which
  /// are overdue.
  std::chrono::microseconds LeastRemaining(steady_time now) const;
  void UpdateFirstEnd();

  std::map<start_number, estimate> estimates_;
  estimate first_end_;  ///< The one that ends first.
  resource_amount needs_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_ESTIMATES_START_ESTIMATES_H_
