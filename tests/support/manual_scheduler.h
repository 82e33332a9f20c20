#ifndef TESTS_SUPPORT_MANUAL_SCHEDULER_H_
#define TESTS_SUPPORT_MANUAL_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "jayrill/base/clock.h"
#include "jayrill/store/scheduler.h"

namespace jayrill {

/// Scheduler in virtual time: advances a manual clock from one callback to the
/// next.
class manual_scheduler final : public scheduler {
 public:
  explicit manual_scheduler(manual_clock& time) : clock_(time) {}

  void After(std::chrono::milliseconds delay,
             std::function<void()> callback) override {
    pending_.emplace(std::pair(clock_.Now() + delay, ++sequence_),
                     std::move(callback));
  }

  /// Advances the clock by \p duration and runs the callbacks that become due
  /// meanwhile, at their times.
  void RunFor(std::chrono::milliseconds duration) {
    const steady_time end = clock_.Now() + duration;
    while (!pending_.empty() && pending_.begin()->first.first <= end) {
      auto next = pending_.extract(pending_.begin());
      if (next.key().first > clock_.Now()) {
        clock_.Advance(next.key().first - clock_.Now());
      }
      next.mapped()();
    }
    clock_.Advance(end - clock_.Now());
  }

 private:
  manual_clock& clock_;
  std::uint64_t sequence_ = 0;
  std::map<std::pair<steady_time, std::uint64_t>, std::function<void()>>
      pending_;
};

}  // namespace jayrill

#endif  // TESTS_SUPPORT_MANUAL_SCHEDULER_H_
