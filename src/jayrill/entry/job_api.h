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
#include "jayrill/entry/http_exchange.h"
#include "jayrill/entry/job_format.h"
#include "jayrill/job/job_spec.h"
#include "jayrill/metrics.h"

namespace jayrill {

/// What job_api works with; all of it outlives the API.
struct job_api_parts {
  dispatch_port& dispatch;
  claim_port& claims;
  const clock& time;
  metric_registry& metrics;
  /// \returns the configuration in force, or null while there is none.
  std::function<shared_config()> config;
  incarnation entry;
  const job_format& format;
};

/// POST /v1/jobs: checks a job, claims it if it is not idempotent, runs it and
/// answers. Belongs to the Qt thread.
class job_api {
 public:
  explicit job_api(job_api_parts parts);
  ~job_api();

  void Handle(const exchange_ptr& exchange);

  /// New jobs are refused as not run from now on. Resubmissions of jobs that
  /// run or have run here are still answered.
  void BeginDrain() { draining_ = true; }

  /// \returns the number of jobs that are not decided.
  std::size_t pending_jobs() const { return jobs_.size(); }

 private:
  struct active_job {
    job_id id;
    job_spec spec;
    std::uint64_t content = 0;
    steady_time arrived;
    wall_time key_time;  ///< Of a request key.
    /// The submitter and the resubmissions that joined.
    std::vector<exchange_ptr> callers;
    std::string request_id;  ///< That the caller gave its request, for logs.
    std::size_t tasks = 0;
  };
  using job_ptr = std::shared_ptr<active_job>;

  void Start(const exchange_ptr& exchange, job_spec spec);
  void StartClaimed(const exchange_ptr& exchange, job_spec spec);
  job_ptr AddJob(const exchange_ptr& exchange, job_spec spec);
  void Answer(const exchange_ptr& exchange,
              const std::string& id,
              const job_outcome& outcome);
  void LogDecision(const active_job& job, const job_outcome& outcome);
  void Join(const job_ptr& job, const exchange_ptr& exchange);
  void OnClaim(job_id id, const claim_decision& decision);
  void EndClaim(const active_job& job, const job_outcome& outcome);
  void Dispatch(const job_ptr& job);
  void OnOutcome(job_id id, job_outcome outcome);
  void OnCallerGone(job_id id, const http_exchange* exchange);
  void Finish(const job_ptr& job, const job_outcome& outcome);
  void Finish(const job_ptr& job,
              const job_outcome& outcome,
              const http_response& response);
  void Count(const job_spec& spec,
             steady_time arrived,
             const job_outcome& outcome);
  void Refuse(const exchange_ptr& exchange,
              const job_spec& spec,
              const job_outcome& outcome);

  job_api_parts parts_;
  bool draining_ = false;
  std::uint64_t last_sequence_ = 0;
  std::unordered_map<job_id, job_ptr> jobs_;
  /// Undecided non-idempotent jobs by request key.
  std::unordered_map<std::string, job_ptr> by_key_;
  answer_cache answers_;
  log_limit log_;
  /// Callbacks that come after the end of this object find it expired.
  std::shared_ptr<void> alive_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_JOB_API_H_
