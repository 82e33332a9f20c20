#ifndef JAYRILL_ENTRY_JOB_API_H_
#define JAYRILL_ENTRY_JOB_API_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"
#include "jayrill/base/log_limit.h"
#include "jayrill/entry/answer_cache.h"
#include "jayrill/entry/claim_port.h"
#include "jayrill/entry/dispatch_port.h"
#include "jayrill/entry/http/http_exchange.h"
#include "jayrill/entry/job_format.h"
#include "jayrill/job/job_spec.h"
#include "jayrill/metrics.h"
#include "jayrill/store/scheduler.h"

namespace jayrill {

/// The objects that job_api uses. They must outlive it.
struct job_api_dependencies {
  dispatch_port& dispatch;
  claim_port& claims;
  const clock& time;
  metric_registry& metrics;
  /// \returns the configuration in force, or null while there is none.
  std::function<shared_config()> config;
  incarnation entry;
  const job_format& format;
  scheduler& timers;
  /// \returns true when the request that is handled now may have been held back
  /// on its way to this entry.
  std::function<bool()> may_be_held_back;
};

/// Serves POST /v1/jobs: validates a job, claims the request key of a
/// non-idempotent one, submits the job to the dispatcher and replies with its
/// outcome. Used on the Qt main thread only.
class job_api {
 public:
  explicit job_api(job_api_dependencies dependencies);
  ~job_api();

  /// How long a job whose request may have been held back waits for the end of
  /// its caller's connection. That end comes a round trip behind the request.
  static constexpr std::chrono::milliseconds kCallerCheckTime{50};

  /// Runs the job in the request of \p exchange, or joins the running job with
  /// the same request key. Replies at once if the job is refused or its answer
  /// is cached, else when the job has an outcome.
  void HandleSubmission(const exchange_ptr& exchange);

  /// Refuses new jobs as not run from now on. Resubmissions of jobs that run or
  /// have run on this entry are still answered.
  void BeginDrain() { draining_ = true; }

  /// \returns the number of jobs without an outcome.
  std::size_t pending_jobs() const { return jobs_.size(); }

 private:
  struct active_job {
    job_id id;
    job_spec spec;
    std::uint64_t content_hash = 0;
    steady_time arrival_time;
    /// How long the request had waited unread, at most.
    std::chrono::milliseconds waited{};
    wall_time key_time;  ///< The time that the request key begins with.
    /// Requests that wait for the outcome: the first submission and its
    /// resubmissions.
    std::vector<exchange_ptr> callers;
    std::string request_id;  ///< The caller's header request-id, for logs.
    request_times times;     ///< Of the first submission.
    /// Of the caller that has left last; kConnected when none has.
    caller_state caller = caller_state::kConnected;
    std::size_t tasks = 0;
    /// It is not dispatched yet, since its caller may have left.
    bool is_held = false;
  };
  using job_ptr = std::shared_ptr<active_job>;

  /// Refuses the job while the entry drains, else dispatches it.
  void StartUnlessDraining(const exchange_ptr& exchange, job_spec spec);
  /// Answers a resubmission, or claims the request key of a new job.
  void StartWithClaim(const exchange_ptr& exchange, job_spec spec);
  job_ptr AddJob(const exchange_ptr& exchange, job_spec spec);
  void Answer(const exchange_ptr& exchange,
              const std::string& id,
              const job_outcome& outcome);
  void LogDecision(const active_job& job, const job_outcome& outcome);
  /// Adds \p exchange to the ones that get the outcome of \p job.
  void Join(const job_ptr& job, const exchange_ptr& exchange);
  void OnClaim(job_id id, const claim_decision& decision);
  void EndClaim(const active_job& job, const job_outcome& outcome);
  /// Dispatches \p job once its caller has stayed for kCallerCheckTime.
  void Hold(const job_ptr& job);
  /// Dispatches the job if it is held.
  void Release(job_id id);
  void Dispatch(const job_ptr& job);
  void OnOutcome(job_id id, job_outcome outcome);
  /// Cancels an idempotent job when its last caller has disconnected.
  void OnCallerDisconnected(job_id id, const http_exchange* exchange);
  void Finish(const job_ptr& job, const job_outcome& outcome);
  void Finish(const job_ptr& job,
              const job_outcome& outcome,
              const http_response& response);
  void Count(const job_spec& spec,
             steady_time arrival_time,
             const job_outcome& outcome);
  void Refuse(const exchange_ptr& exchange,
              const job_spec& spec,
              const job_outcome& outcome);

  job_api_dependencies dependencies_;
  bool draining_ = false;
  std::uint64_t last_sequence_ = 0;
  std::unordered_map<job_id, job_ptr> jobs_;
  /// Non-idempotent jobs without an outcome, by request key.
  std::unordered_map<std::string, job_ptr> jobs_by_key_;
  answer_cache answers_;
  log_limit log_;
  /// Callbacks hold a weak pointer to it and do nothing once this object is
  /// destroyed.
  std::shared_ptr<void> alive_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_JOB_API_H_
