#ifndef JAYRILL_TESTS_UNIT_SIMULATED_AGENT_H_
#define JAYRILL_TESTS_UNIT_SIMULATED_AGENT_H_

#include <functional>
#include <utility>
#include <vector>

#include "agent_core_rig.h"
#include "jayrill/agent/leased_minion.h"
#include "minion_standin.h"

namespace jayrill {

/// Callers submit a job again this long after their connection broke.
inline constexpr milliseconds kRepeatAfter{1300};

/// A process: its work waits while it is frozen, and is lost when it is killed.
class simulated_process {
 public:
  void Do(std::function<void()> work) {
    if (frozen_) {
      held_.push_back(std::move(work));
    } else {
      work();
    }
  }
  /// Runs \p work if the process has not been killed since \p life.
  void DoIn(int life, std::function<void()> work) {
    Do([this, life, work = std::move(work)] {
      if (life == life_) {
        work();
      }
    });
  }
  /// Wraps \p work so that it runs in the present life only.
  std::function<void()> Wrap(std::function<void()> work) {
    return [this, life = life_, work = std::move(work)] { DoIn(life, work); };
  }
  int life() const { return life_; }
  void Freeze() { frozen_ = true; }
  void Thaw() {
    frozen_ = false;
    for (const auto& work : std::exchange(held_, {})) {
      Do(work);
    }
  }
  void Kill() {
    ++life_;
    Thaw();
  }

 private:
  bool frozen_ = false;
  int life_ = 0;
  std::vector<std::function<void()>> held_;
};

/// The timers of an agent and its calls to its minion, which stand still while
/// the agent is frozen.
class agent_io final : public scheduler, public run_control {
 public:
  agent_io(simulated_process& owner,
           manual_scheduler& timers,
           minion_standin& minion)
      : owner_(owner), timers_(timers), minion_(minion) {}

  void After(milliseconds delay, std::function<void()> work) override {
    timers_.After(delay, owner_.Wrap(std::move(work)));
  }
  void Identify(const announcement& minion,
                std::uint64_t token,
                std::function<void(result<identity_answer>)> done) override {
    minion_.Identify(minion, token, Later(std::move(done)));
  }
  void SetMinion(const announcement& minion) override {
    minion_.SetMinion(minion);
  }
  void Start(const run_order& order,
             std::function<void(order_answer)> done) override {
    minion_.Start(order, Later(std::move(done)));
  }
  void Stop(const run_name& run,
            std::uint64_t token,
            std::function<void(order_answer)> done) override {
    minion_.Stop(run, token, Later(std::move(done)));
  }
  void Renew(const renewal& request,
             std::function<void(result<run_report>)> done) override {
    minion_.Renew(request, Later(std::move(done)));
  }

 private:
  template <typename Answer>
  std::function<void(Answer)> Later(std::function<void(Answer)> done) {
    return [owner = &owner_, life = owner_.life(),
            done = std::move(done)](Answer answer) {
      owner->DoIn(life, [done, answer] { done(answer); });
    };
  }

  simulated_process& owner_;
  manual_scheduler& timers_;
  minion_standin& minion_;
};

/// An agent with the real core and the real leased_minion.
class simulated_agent final : public agent_core::host {
 public:
  simulated_agent(manual_clock& time,
                  manual_scheduler& timers,
                  simulated_process& owner,
                  minion_standin& minion)
      : io_(owner, timers, minion),
        core_(Settings(), time, *this),
        runs_(Lease(),
              time,
              io_,
              io_,
              {[this](std::uint64_t call, task_result outcome) {
                 core_.OnResult(call, std::move(outcome));
               },
               [this](std::uint64_t call) { core_.OnSlotFree(call); }}) {
    core_.OfferConfig(Config(5));
    OnHeartbeat(minion.Announcement());
  }

  void OnHeartbeat(const announcement& minion) {
    core_.Announce(minion);
    runs_.OnAnnounced(minion);
  }

  agent_core& core() { return core_; }

  void Call(task_call call) override { runs_.Run(call); }
  void StopCall(std::uint64_t call) override { runs_.Stop(call); }
  void ResultReady(incarnation) override {}
  void StatusChanged() override {}
  void PauseDetected() override {}

 private:
  static agent_settings Settings() {
    agent_settings settings = jayrill::Settings();
    settings.silence_timeout = kRepeatAfter / 2;
    settings.announce_ttl = std::chrono::hours(1);
    settings.queue_limit = 100;
    return settings;
  }
  static lease_settings Lease() {
    lease_settings settings;
    settings.unawaited_limit = kRepeatAfter * 4 / 5;
    settings.stall_limit = std::chrono::hours(1);
    return settings;
  }

  agent_io io_;
  agent_core core_;
  leased_minion runs_;
};

}  // namespace jayrill

#endif  // JAYRILL_TESTS_UNIT_SIMULATED_AGENT_H_
