#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "jayrill/agent/leased_minion.h"
#include "manual_scheduler.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

/// Time that a minion may take for a stop.
constexpr milliseconds kStopTime{50};

/// A minion with a run of an earlier agent. A stopped run is listed neither as
/// running nor as ended while it is being stopped, and needs its room until
/// then.
class minion_with_old_run final : public run_control {
 public:
  minion_with_old_run(manual_clock& time, manual_scheduler& timers)
      : time_(time), timers_(timers) {}

  void SetMinion(const announcement& /*minion*/) override {}

  void Start(const run_order& /*order*/,
             std::function<void(order_answer)> done) override {
    started_at = time_.Now();
    Answer([done] { done(order_answer::kAccepted); });
  }

  void Stop(const run_name& /*run*/,
            std::uint64_t /*fencing_token*/,
            std::function<void(order_answer)> done) override {
    stop_begun_at_ = stop_begun_at_.value_or(time_.Now());
    Answer([done] { done(order_answer::kAccepted); });
  }

  void Renew(const renewal& /*request*/,
             std::function<void(result<run_report>)> done) override {
    run_report report;
    report.life = 1;
    report.clock = milliseconds(1000);
    if (!stop_begun_at_) {
      report.running.push_back({kOldRun, 10});
    } else if (time_.Now() >= *old_run_ends_at()) {
      report.ended.push_back({1, kOldRun, run_end::kStopped});
    }
    Answer([done, report] { done(report); });
  }

  std::optional<steady_time> old_run_ends_at() const {
    return stop_begun_at_ ? std::optional(*stop_begun_at_ + kStopTime)
                          : std::nullopt;
  }

  std::optional<steady_time> started_at;

 private:
  inline static const run_name kOldRun{"old", 0, 1};

  void Answer(std::function<void()> done) {
    timers_.After(milliseconds(2), std::move(done));
  }

  manual_clock& time_;
  manual_scheduler& timers_;
  std::optional<steady_time> stop_begun_at_;
};

// Guards against a start on a minion whose room is still taken by a run of an
// earlier agent that is being stopped.
TEST(stopping_run_test, AStartWaitsForTheEndOfAnOldRun) {
  manual_clock time;
  manual_scheduler timers(time);
  minion_with_old_run minion(time, timers);
  std::vector<task_result> results;
  leased_minion agent(lease_settings{}, time, timers, minion,
                      {[&results](std::uint64_t, task_result outcome) {
                         results.push_back(std::move(outcome));
                       },
                       [](std::uint64_t) {}});
  announcement announced;
  announced.life = 1;
  agent.OnAnnounced(announced);
  task_call call;
  call.id = 1;
  call.order.job_name = "new";
  call.released = time.Now();
  call.deadline = time.Now() + std::chrono::seconds(5);
  agent.Run(call);
  timers.RunFor(milliseconds(390));
  ASSERT_TRUE(minion.started_at);
  EXPECT_GE(*minion.started_at, *minion.old_run_ends_at());
}

}  // namespace
}  // namespace jayrill
