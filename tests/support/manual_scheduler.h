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

/// Scheduler in virtual time: moves a manual clock from one work to the next.
class manual_scheduler final : public scheduler {
 public:
  explicit manual_scheduler(manual_clock& time) : clock_(time) {}

  void After(std::chrono::milliseconds delay,
             std::function<void()> work) override {
    works_.emplace(std::pair(clock_.Now() + delay, ++sequence_),
                   std::move(work));
  }

  /// Runs everything that becomes due within \p duration.
  void RunFor(std::chrono::milliseconds duration) {
    const steady_time end = clock_.Now() + duration;
    while (!works_.empty() && works_.begin()->first.first <= end) {
      auto next = works_.extract(works_.begin());
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
  std::map<std::pair<steady_time, std::uint64_t>, std::function<void()>> works_;
};

}  // namespace jayrill

#endif  // TESTS_SUPPORT_MANUAL_SCHEDULER_H_
