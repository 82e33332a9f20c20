#ifndef TESTS_SUPPORT_MINION_STANDIN_H_
#define TESTS_SUPPORT_MINION_STANDIN_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jayrill/agent/run_control.h"
#include "jayrill/base/random_source.h"
#include "manual_scheduler.h"

namespace jayrill {

/// Counts the runs of each task on all minions and notes overlaps.
class run_monitor {
 public:
  using task_key = std::pair<std::string, std::uint32_t>;

  void Begin(const run_name& run) {
    if (++active_[task_key(run.job, run.task)] > 1) {
      ++overlaps_;
    }
  }
  void End(const run_name& run) { --active_[task_key(run.job, run.task)]; }

  int overlaps() const { return overlaps_; }

 private:
  std::map<task_key, int> active_;
  int overlaps_ = 0;
};

/// Shares of the orders and runs that go wrong, in percent.
struct minion_faults {
  std::uint64_t lost_answers = 0;
  std::uint64_t late_orders = 0;  ///< Carried out 2 to 12 s later.
  std::uint64_t failures = 0;
  std::uint64_t hangs = 0;

  auto operator<=>(const minion_faults&) const = default;
};

/// A minion with leases in virtual time.
class minion_standin final : public run_control {
 public:
  minion_standin(manual_clock& time,
                 manual_scheduler& timers,
                 random_source random,
                 run_monitor& monitor,
                 minion_faults faults)
      : time_(time),
        timers_(timers),
        random_(random),
        monitor_(monitor),
        faults_(faults),
        born_(time.Now()) {
    Watch();
  }

  /// Everything that runs is gone; the minion starts anew under its name.
  void Crash() {
    for (const auto& [name, run] : runs_) {
      monitor_.End(name);
    }
    runs_.clear();
    ended_.clear();
    fenced_.clear();
    sequence_ = 0;
    token_ = 0;
    lease_until_ = {};
    born_ = time_.Now();
    ++life_;
  }

  announcement Announcement() const {
    announcement minion;
    minion.service = "quotes";
    minion.instance = "i1";
    minion.host = "127.0.0.1";
    minion.port = 1;
    minion.slots = 8;
    minion.connections = 8;
    minion.life = life_;
    return minion;
  }

  void SetFaults(minion_faults faults) { faults_ = faults; }

  void SetMinion(const announcement& /*minion*/) override {}

  void Start(const run_order& order,
             std::function<void(start_answer)> done) override {
    Carry([this, order] { return DoStart(order); }, std::move(done));
  }

  void Stop(const run_name& run,
            std::uint64_t fencing_token,
            std::function<void(start_answer)> done) override {
    Carry([this, run, fencing_token] { return DoStop(run, fencing_token); },
          std::move(done));
  }

  void Renew(const renewal& request,
             std::function<void(result<run_report>)> done) override {
    if (random_.Below(100) < faults_.lost_answers) {
      timers_.After(kRoundTrip, [this, request] { DoRenew(request); });
      timers_.After(kNoAnswer, [done] { done(Lost()); });
      return;
    }
    timers_.After(kRoundTrip, [this, request, done] {
      if (!DoRenew(request)) {
        done(MakeError(error_kind::kConflict, "fence", "raise the token"));
        return;
      }
      AnswerReport(request, time_.Now() + request.wait, done);
    });
  }

 private:
  static constexpr std::chrono::milliseconds kRoundTrip{2};
  static constexpr std::chrono::milliseconds kNoAnswer{150};
  static constexpr std::chrono::milliseconds kStep{5};
  static constexpr std::chrono::milliseconds kMaxLease{1000};
  /// The clock of a minion may be 2 % slow.
  static constexpr double kClockRate = 0.98;

  struct active_run {
    steady_time began;
    std::chrono::milliseconds work{};
    run_end how = run_end::kDone;
    bool hangs = false;
    bool stopping = false;
  };

  static tl::unexpected<error> Lost() {
    return MakeError(error_kind::kUnknownOutcome, "no answer", "ask again");
  }

  minion_time Clock() const {
    return std::chrono::duration_cast<minion_time>((time_.Now() - born_) *
                                                   kClockRate);
  }

  void Carry(std::function<start_answer()> act,
             std::function<void(start_answer)> done) {
    const std::uint64_t draw = random_.Below(100);
    if (draw < faults_.late_orders) {
      const std::chrono::milliseconds late(2000 + random_.Below(10'000));
      timers_.After(late, [act] { act(); });
      timers_.After(kNoAnswer, [done] { done(start_answer::kLost); });
    } else if (draw < faults_.late_orders + faults_.lost_answers) {
      timers_.After(kRoundTrip, [act] { act(); });
      timers_.After(kNoAnswer, [done] { done(start_answer::kLost); });
    } else {
      timers_.After(kRoundTrip, [act, done] { done(act()); });
    }
  }

  bool Takes(std::uint64_t token) {
    token_ = std::max(token_, token);
    return token >= token_;
  }

  void Extend(minion_time until) {
    lease_until_ = std::max(lease_until_, std::min(until, Clock() + kMaxLease));
  }

  start_answer DoStart(const run_order& order) {
    if (!Takes(order.fencing_token)) {
      return start_answer::kFenced;
    }
    if (order.lease_until <= Clock()) {
      return start_answer::kExpired;
    }
    Extend(order.lease_until);
    if (runs_.contains(order.run)) {
      return start_answer::kStarted;
    }
    std::uint32_t& fenced = fenced_[{order.run.job, order.run.task}];
    if (order.run.attempt <= fenced) {
      return start_answer::kSuperseded;
    }
    active_run run;
    run.began = time_.Now();
    run.work = std::chrono::milliseconds(20 + random_.Below(400));
    run.how = random_.Below(100) < faults_.failures ? run_end::kFailed
                                                    : run_end::kDone;
    run.hangs = random_.Below(100) < faults_.hangs;
    runs_.emplace(order.run, run);
    monitor_.Begin(order.run);
    return start_answer::kStarted;
  }

  start_answer DoStop(const run_name& name, std::uint64_t token) {
    if (!Takes(token)) {
      return start_answer::kFenced;
    }
    std::uint32_t& fenced = fenced_[{name.job, name.task}];
    fenced = std::max(fenced, name.attempt);
    const auto found = runs_.find(name);
    if (found != runs_.end()) {
      // It ends a little later and is in neither list meanwhile.
      found->second.stopping = true;
      timers_.After(std::chrono::milliseconds(random_.Below(50)),
                    [this, name, life = life_] {
                      if (life == life_) {
                        End(name, run_end::kStopped);
                      }
                    });
    }
    return start_answer::kStarted;
  }

  bool DoRenew(const renewal& request) {
    if (!Takes(request.fencing_token)) {
      return false;
    }
    std::erase_if(ended_, [&](const ended_run& end) {
      return end.sequence <= request.acknowledged;
    });
    if (request.lease_until) {
      Extend(*request.lease_until);
    }
    return true;
  }

  void AnswerReport(const renewal& request,
                    steady_time until,
                    const std::function<void(result<run_report>)>& done) {
    if (ended_.empty() && time_.Now() < until) {
      timers_.After(kStep, [this, request, until, done] {
        AnswerReport(request, until, done);
      });
      return;
    }
    run_report report;
    report.life = life_;
    report.clock = Clock();
    report.ended = ended_;
    for (const auto& [name, run] : runs_) {
      if (!run.stopping) {
        const auto percent =
            run.hangs ? 0 : 100 * (time_.Now() - run.began) / run.work;
        report.running.push_back(
            {name,
             static_cast<std::uint32_t>(std::min<std::int64_t>(percent, 100))});
      }
    }
    timers_.After(kRoundTrip, [done, report] { done(report); });
  }

  void End(const run_name& name, run_end how) {
    if (runs_.erase(name) == 0) {
      return;
    }
    monitor_.End(name);
    std::uint32_t& fenced = fenced_[{name.job, name.task}];
    fenced = std::max(fenced, name.attempt);
    ended_.push_back({++sequence_, name, how});
  }

  void Watch() {
    std::vector<std::pair<run_name, run_end>> ends;
    const bool lapsed = Clock() > lease_until_;
    for (const auto& [name, run] : runs_) {
      if (lapsed) {
        ends.emplace_back(name, run_end::kLapsed);
      } else if (!run.hangs && !run.stopping &&
                 time_.Now() - run.began >= run.work) {
        ends.emplace_back(name, run.how);
      }
    }
    for (const auto& [name, how] : ends) {
      End(name, how);
    }
    timers_.After(kStep, [this] { Watch(); });
  }

  manual_clock& time_;
  manual_scheduler& timers_;
  random_source random_;
  run_monitor& monitor_;
  minion_faults faults_;
  steady_time born_;
  std::uint64_t life_ = 1;
  std::uint64_t token_ = 0;
  std::uint64_t sequence_ = 0;
  minion_time lease_until_{};
  std::map<run_name, active_run> runs_;
  std::map<run_monitor::task_key, std::uint32_t> fenced_;
  std::vector<ended_run> ended_;
};

}  // namespace jayrill

#endif  // TESTS_SUPPORT_MINION_STANDIN_H_
