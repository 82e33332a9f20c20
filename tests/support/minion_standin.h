#ifndef TESTS_SUPPORT_MINION_STANDIN_H_
#define TESTS_SUPPORT_MINION_STANDIN_H_

#include <algorithm>
#include <cstddef>
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

/// Counts on all minions how often a run has begun while another one of its
/// task was active, and how many calls have begun although they were reported
/// as not run. The payload of an order names its call.
class run_monitor {
 public:
  using task_key = std::pair<std::string, std::uint32_t>;

  void Begin(const run_name& run, const std::string& call) {
    if (++active_[task_key(run.job, run.task)] > 1) {
      ++overlaps_;
    }
    begun_.insert(call);
    broken_promises_ += promised_.contains(call) ? 1 : 0;
  }
  void End(const run_name& run) { --active_[task_key(run.job, run.task)]; }

  /// \p call was reported as not run, now or later.
  void Promise(const std::string& call) {
    promised_.insert(call);
    broken_promises_ += begun_.contains(call) ? 1 : 0;
  }

  /// \returns true when the order of \p call has been carried out.
  bool HasBegun(const std::string& call) const { return begun_.contains(call); }

  int overlaps() const { return overlaps_; }
  int broken_promises() const { return broken_promises_; }

 private:
  std::map<task_key, int> active_;
  std::set<std::string> begun_;
  std::set<std::string> promised_;
  int overlaps_ = 0;
  int broken_promises_ = 0;
};

/// Shares of the orders and runs with a fault, in percent.
struct minion_faults {
  std::uint64_t lost_answers = 0;  ///< Carried out, but not answered.
  /// Not answered, and carried out 2 to 12 s later.
  std::uint64_t late_orders = 0;
  std::uint64_t failures = 0;  ///< The run fails.
  std::uint64_t hangs = 0;     ///< The run makes no progress.
  /// Renewals that are not answered, and carried out 2 to 12 s later.
  std::uint64_t late_renewals = 0;
  /// Renewals that are carried out and answered with an error.
  std::uint64_t renewal_errors = 0;
  /// The lease of a late renewal counts from its arrival: it is as long then as
  /// it would have been in time.
  bool leases_from_arrival = false;
  std::size_t ends_per_report = 500;
  /// A renewal without an answer times out after its wait and kAnswerTimeout,
  /// as with the calls of the platform, and not after kAnswerTimeout.
  bool times_out_after_wait = false;

  auto operator<=>(const minion_faults&) const = default;
};

/// Simulates a minion that keeps its runs under a lease, in virtual time and
/// with faults.
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
        started_at_(time.Now()) {
    EndDueRuns();
  }

  /// Which name a minion has after a restart.
  enum class restart_name { kSame, kNew };

  /// Loses all runs and all state, and restarts with a higher life. Under a new
  /// name it refuses calls that were sent to an earlier one.
  void Crash(restart_name next = restart_name::kSame) {
    if (next == restart_name::kNew) {
      ++name_;
    }
    for (const auto& [name, run] : runs_) {
      monitor_.End(name);
    }
    runs_.clear();
    ended_.clear();
    fenced_attempts_.clear();
    sequence_ = 0;
    token_ = 0;
    lease_until_ = {};
    started_at_ = time_.Now();
    ++life_;
  }

  announcement Announcement() const {
    announcement minion;
    minion.service = "quotes";
    minion.instance = "i" + std::to_string(name_);
    minion.host = "127.0.0.1";
    minion.port = 1;
    minion.slots = 8;
    minion.connections = 8;
    minion.life = life_;
    return minion;
  }

  void SetFaults(minion_faults faults) { faults_ = faults; }

  /// While it is unreachable, no call is answered, and half of them are carried
  /// out 2 to 12 s later.
  void SetReachable(bool reachable) { reachable_ = reachable; }

  /// While it refuses connections, as after its end, no call is carried out.
  void SetRefusesConnections(bool refuses) { refuses_connections_ = refuses; }

  void Identify(const announcement& minion,
                std::uint64_t /*fencing_token*/,
                std::function<void(result<identity_answer>)> done) override {
    timers_.After(kRoundTrip, [this, minion, done = std::move(done)] {
      const bool is_same = IsAddressed(minion.instance) && minion.life == life_;
      done(is_same ? identity_answer::kSame : identity_answer::kOther);
    });
  }

  void SetMinion(const announcement& minion) override {
    target_ = minion.instance;
  }

  void Start(const run_order& order,
             std::function<void(order_answer)> done) override {
    Deliver([this, order] { return ApplyStart(order); }, std::move(done));
  }

  void Stop(const run_name& run,
            std::uint64_t fencing_token,
            std::function<void(order_answer)> done) override {
    Deliver(
        [this, run, fencing_token] { return ApplyStop(run, fencing_token); },
        std::move(done));
  }

  void Renew(const renewal& request,
             std::function<void(result<run_report>)> done) override {
    if (refuses_connections_) {
      timers_.After(kRoundTrip, [done] {
        done(MakeError(error_kind::kUnavailable, "refused", "ask again"));
      });
      return;
    }
    if (!reachable_ || random_.Below(100) < faults_.late_renewals) {
      ApplyLate([this, late = request, sent = Clock(), life = life_,
                 target = target_]() mutable {
        if (!IsAddressed(target)) {
          return;
        }
        if (faults_.leases_from_arrival && late.lease_until && life == life_) {
          *late.lease_until += Clock() - sent;
        }
        ApplyRenewal(late);
      });
      timers_.After(RenewalTimeout(request), [done] { done(NoAnswer()); });
      return;
    }
    if (random_.Below(100) < faults_.renewal_errors) {
      timers_.After(kRoundTrip, [this, request, done] {
        ApplyRenewal(request);
        done(MakeError(error_kind::kUnknownOutcome, "status 500", "ask again"));
      });
      return;
    }
    if (random_.Below(100) < faults_.lost_answers) {
      timers_.After(kRoundTrip, [this, request] { ApplyRenewal(request); });
      timers_.After(RenewalTimeout(request), [done] { done(NoAnswer()); });
      return;
    }
    timers_.After(kRoundTrip, [this, request, done, target = target_] {
      if (!IsAddressed(target)) {
        done(MakeError(error_kind::kUnknownOutcome, "status 421", "ask again"));
        return;
      }
      if (!ApplyRenewal(request)) {
        done(MakeError(error_kind::kConflict, "fence", "raise the token"));
        return;
      }
      AnswerReport(request, time_.Now() + request.wait, done);
    });
  }

 private:
  static constexpr std::chrono::milliseconds kRoundTrip{2};
  static constexpr std::chrono::milliseconds kAnswerTimeout{150};
  static constexpr std::chrono::milliseconds kPollInterval{5};
  static constexpr std::chrono::milliseconds kMaxLease{1000};
  /// The clock of a minion may be 2 % slow.
  static constexpr double kClockRate = 0.98;

  struct simulated_run {
    steady_time started_at;
    std::chrono::milliseconds work{};
    run_end how = run_end::kDone;
    bool hangs = false;
    bool stopping = false;
  };

  static tl::unexpected<error> NoAnswer() {
    return MakeError(error_kind::kUnknownOutcome, "no answer", "ask again");
  }

  std::chrono::milliseconds RenewalTimeout(const renewal& request) const {
    return kAnswerTimeout + (faults_.times_out_after_wait
                                 ? request.wait
                                 : std::chrono::milliseconds(0));
  }

  minion_time Clock() const {
    return std::chrono::duration_cast<minion_time>((time_.Now() - started_at_) *
                                                   kClockRate);
  }

  /// Carries a call out 2 to 12 s later, whether the minion has crashed
  /// meanwhile or not; drops every second one of an unreachable minion.
  void ApplyLate(std::function<void()> operation) {
    const std::chrono::milliseconds delay(2000 + random_.Below(10'000));
    if (reachable_ || random_.Below(2) == 0) {
      timers_.After(delay, std::move(operation));
    }
  }

  /// \returns true when a call that was sent to \p target is meant for the
  /// present life.
  bool IsAddressed(const std::string& target) const {
    return target == Announcement().instance;
  }

  /// Carries an order out and answers it, unless the draw says that it is late
  /// or that its answer is lost.
  void Deliver(const std::function<order_answer()>& apply,
               std::function<void(order_answer)> done) {
    const auto operation = [this, apply, target = target_] {
      return IsAddressed(target) ? apply() : order_answer::kUnhealthy;
    };
    if (refuses_connections_) {
      timers_.After(kRoundTrip, [done] { done(order_answer::kUnhealthy); });
      return;
    }
    const std::uint64_t draw = random_.Below(100);
    if (!reachable_ || draw < faults_.late_orders) {
      ApplyLate([operation] { operation(); });
      timers_.After(kAnswerTimeout, [done] { done(order_answer::kLost); });
    } else if (draw < faults_.late_orders + faults_.lost_answers) {
      timers_.After(kRoundTrip, [operation] { operation(); });
      timers_.After(kAnswerTimeout, [done] { done(order_answer::kLost); });
    } else {
      timers_.After(kRoundTrip, [operation, done] { done(operation()); });
    }
  }

  /// \returns true when \p token is not below one that was seen before.
  bool AcceptToken(std::uint64_t token) {
    token_ = std::max(token_, token);
    return token >= token_;
  }

  void ExtendLease(minion_time until) {
    lease_until_ = std::max(lease_until_, std::min(until, Clock() + kMaxLease));
  }

  order_answer ApplyStart(const run_order& order) {
    if (!AcceptToken(order.fencing_token)) {
      return order_answer::kFenced;
    }
    if (order.lease_until <= Clock()) {
      return order_answer::kExpired;
    }
    ExtendLease(order.lease_until);
    if (runs_.contains(order.run)) {
      return order_answer::kAccepted;
    }
    std::uint32_t& fenced = fenced_attempts_[{order.run.job, order.run.task}];
    if (order.run.attempt <= fenced) {
      return order_answer::kSuperseded;
    }
    simulated_run run;
    run.started_at = time_.Now();
    run.work = std::chrono::milliseconds(20 + random_.Below(400));
    run.how = random_.Below(100) < faults_.failures ? run_end::kFailed
                                                    : run_end::kDone;
    run.hangs = random_.Below(100) < faults_.hangs;
    runs_.emplace(order.run, run);
    monitor_.Begin(order.run, order.payload);
    return order_answer::kAccepted;
  }

  order_answer ApplyStop(const run_name& name, std::uint64_t token) {
    if (!AcceptToken(token)) {
      return order_answer::kFenced;
    }
    std::uint32_t& fenced = fenced_attempts_[{name.job, name.task}];
    fenced = std::max(fenced, name.attempt);
    const auto found = runs_.find(name);
    if (found != runs_.end()) {
      // The run ends a little later. Until then a report lists it neither as
      // running nor as ended.
      found->second.stopping = true;
      timers_.After(std::chrono::milliseconds(random_.Below(50)),
                    [this, name, life = life_] {
                      if (life == life_) {
                        End(name, run_end::kStopped);
                      }
                    });
    }
    return order_answer::kAccepted;
  }

  bool ApplyRenewal(const renewal& request) {
    if (!AcceptToken(request.fencing_token)) {
      return false;
    }
    std::erase_if(ended_, [&](const ended_run& end) {
      return end.sequence <= request.acknowledged;
    });
    if (request.lease_until) {
      ExtendLease(*request.lease_until);
    }
    return true;
  }

  void AnswerReport(const renewal& request,
                    steady_time until,
                    const std::function<void(result<run_report>)>& done) {
    if (ended_.empty() && time_.Now() < until) {
      timers_.After(kPollInterval, [this, request, until, done] {
        AnswerReport(request, until, done);
      });
      return;
    }
    run_report report;
    report.life = life_;
    report.clock = Clock();
    report.ended.assign(
        ended_.begin(),
        ended_.begin() + static_cast<std::ptrdiff_t>(
                             std::min(ended_.size(), faults_.ends_per_report)));
    for (const auto& [name, run] : runs_) {
      if (!run.stopping) {
        const auto percent =
            run.hangs ? 0 : 100 * (time_.Now() - run.started_at) / run.work;
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
    std::uint32_t& fenced = fenced_attempts_[{name.job, name.task}];
    fenced = std::max(fenced, name.attempt);
    ended_.push_back({++sequence_, name, how});
  }

  /// Ends the runs that are done or whose lease has expired; repeats itself
  /// every kPollInterval.
  void EndDueRuns() {
    std::vector<std::pair<run_name, run_end>> ends;
    const bool lapsed = Clock() > lease_until_;
    for (const auto& [name, run] : runs_) {
      if (lapsed) {
        ends.emplace_back(name, run_end::kLapsed);
      } else if (!run.hangs && !run.stopping &&
                 time_.Now() - run.started_at >= run.work) {
        ends.emplace_back(name, run.how);
      }
    }
    for (const auto& [name, how] : ends) {
      End(name, how);
    }
    timers_.After(kPollInterval, [this] { EndDueRuns(); });
  }

  manual_clock& time_;
  manual_scheduler& timers_;
  random_source random_;
  run_monitor& monitor_;
  minion_faults faults_;
  steady_time started_at_;
  bool reachable_ = true;
  bool refuses_connections_ = false;
  std::uint64_t life_ = 1;
  int name_ = 1;
  std::string target_ = "i1";  ///< The instance that calls are sent to.
  std::uint64_t token_ = 0;
  std::uint64_t sequence_ = 0;
  minion_time lease_until_{};
  std::map<run_name, simulated_run> runs_;
  std::map<run_monitor::task_key, std::uint32_t> fenced_attempts_;
  std::vector<ended_run> ended_;
};

}  // namespace jayrill

#endif  // TESTS_SUPPORT_MINION_STANDIN_H_
