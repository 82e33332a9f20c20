#ifndef JAYRILL_ENTRY_DISPATCH_SERVICE_H_
#define JAYRILL_ENTRY_DISPATCH_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/base/snapshot.h"
#include "jayrill/base/work_queue.h"
#include "jayrill/entry/dispatch_port.h"
#include "jayrill/entry/dispatch_settings.h"
#include "jayrill/entry/dispatch_view.h"
#include "jayrill/session/loop_progress.h"

namespace jayrill {

class agent_server;
class placement_strategy;

/// Runs the dispatcher and the RPC server for agents on a thread of its own.
///
/// Calls of dispatch_port are posted to that thread through a queue.
class dispatch_service final : public dispatch_port {
 public:
  /// \p time must outlive the service.
  dispatch_service(dispatch_settings settings, const clock& time);
  ~dispatch_service() override;
  dispatch_service(const dispatch_service&) = delete;
  dispatch_service& operator=(const dispatch_service&) = delete;

  /// Makes the service extend the leases of runs only up to when \p callers,
  /// the event loop that serves callers, has handled its input. Called before
  /// Start; \p callers must outlive the service.
  void FollowCallers(const loop_progress& callers) { callers_ = &callers; }

  /// Starts the thread and listens for agents. Called at most once.
  /// \returns the port that agents connect to.
  result<std::uint16_t> Start();

  /// Stops the thread. Jobs that are not decided fail as may_have_run; a
  /// graceful stop calls Drain first.
  void Stop();

  /// \returns the dispatcher's state after the last turn of its event loop. May
  /// be called on every thread that holds a snapshot_reader_thread.
  dispatch_view View() const { return view_.Copy(); }

  // dispatch_port
  void Submit(job_id id, job_spec spec, outcome_callback done) override;
  void Cancel(job_id id) override;
  void OfferConfig(shared_config config) override;
  void ConfirmConfig() override;
  void SetEntries(std::vector<entry_endpoint> entries) override;
  void OfferOutList(out_list list, steady_time confirmed) override;
  void SetTeamShares(std::map<std::string, double> shares) override;
  void OnNewerConfig(std::function<void(shared_config)> listener) override;
  void GetStatus(std::function<void(dispatch_status)> done) override;
  void Drain(std::function<void()> drained) override;

 private:
  using start_promise = std::promise<result<std::uint16_t>>;

  /// Body of the thread.
  void Run(std::unique_ptr<placement_strategy> strategy,
           start_promise& started);

  /// Serves agents and calls until Stop. Sets \p has_started just before it
  /// gives \p started its value.
  void Serve(std::unique_ptr<placement_strategy> strategy,
             start_promise& started,
             bool& has_started);

  /// Publishes the state of the dispatcher if it has changed.
  void PublishView(const agent_server& server);

  /// Tells the callers of undecided jobs that the entry has stopped.
  void FailUndecided();

  /// Answers calls without a dispatcher until Stop.
  void RefuseUntilStopped();
  /// Submits a job that has waited for the dispatcher for \p waited. Its
  /// deadline counts from the call of Submit.
  void SubmitPosted(job_id id,
                    job_spec spec,
                    const outcome_callback& done,
                    steady_duration waited);
  void OnJobDecided(job_id id, job_outcome outcome);

  dispatch_settings settings_;
  const clock& time_;
  const loop_progress* callers_ = nullptr;
  work_queue queue_;
  std::thread thread_;
  std::atomic<bool> stopping_ = false;
  snapshot<dispatch_view> view_{dispatch_view{}};

  // Owned by the dispatcher thread.
  agent_server* server_ = nullptr;
  dispatch_view published_;
  std::unordered_map<job_id, outcome_callback> callbacks_;
  std::function<void(shared_config)> newer_config_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_DISPATCH_SERVICE_H_
