#include "jayrill/entry/job_api.h"

#include <glog/logging.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "jayrill/claim/request_key.h"
#include "jayrill/entry/job_refusals.h"
#include "jayrill/entry/main_thread.h"
#include "jayrill/job/job_codec.h"

namespace jayrill {
namespace {

// Limits of the answer cache. It is a part of the 32 MB of memory that a node
// may use.
constexpr std::size_t kMaxCachedAnswers = 10'000;
constexpr std::size_t kMaxCachedAnswerBytes = std::size_t{4} * 1024 * 1024;

std::string_view OutcomeLabel(const job_outcome& outcome) {
  return outcome ? "complete" : ToString(outcome.error().effect);
}

/// \returns the HTTP status of an answer that is stored with a claim. \p label
/// is the OutcomeLabel() that is stored with it.
int HttpStatusOfLabel(const std::string& label) {
  constexpr int kOk = 200;
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  if (label == "complete") {
    return kOk;
  }
  return label == ToString(job_effect::kRanAndFailed) ? kBadGateway
                                                      : kGatewayTimeout;
}

job_outcome CallerLeft() {
  return MakeNotRunOutcome("caller_left",
                           "the caller left before this entry had started the "
                           "job",
                           "keep the connection open until the answer");
}

std::int64_t Millis(steady_duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// Header with the id that the caller has given to the request.
constexpr char kRequestIdHeader[] = "request-id";

}  // namespace

job_api::job_api(job_api_dependencies dependencies)
    : dependencies_(std::move(dependencies)),
      answers_(kMaxCachedAnswers, kMaxCachedAnswerBytes),
      alive_(std::make_shared<char>()) {}

job_api::~job_api() {
  for (const auto& [id, job] : jobs_) {
    for (const exchange_ptr& caller : job->callers) {
      caller->OnDisconnected(nullptr);
    }
  }
}

void job_api::Answer(const exchange_ptr& exchange,
                     const std::string& id,
                     const job_outcome& outcome) {
  exchange->Reply(dependencies_.format.Encode(id, outcome));
}

void job_api::HandleSubmission(const exchange_ptr& exchange) {
  const shared_config config = dependencies_.config();
  if (!config) {
    Refuse(exchange, {},
           MakeNotRunOutcome("no_configuration",
                             "this entry has no configuration yet",
                             "submit again after a second"));
    return;
  }
  auto spec = dependencies_.format.Decode(exchange->request(), *config);
  if (!spec) {
    Refuse(exchange, {}, tl::unexpected(spec.error()));
    return;
  }
  if (const auto refusal = ApplyProfile(
          config->ProfileOf(spec->service, spec->profile), *spec)) {
    Refuse(exchange, *spec, *refusal);
    return;
  }
  if (spec->idempotent) {
    StartUnlessDraining(exchange, std::move(*spec));
  } else {
    StartWithClaim(exchange, std::move(*spec));
  }
}

void job_api::StartUnlessDraining(const exchange_ptr& exchange, job_spec spec) {
  if (exchange->request().caller != caller_state::kConnected) {
    // Its tasks would start and then be cancelled, while the caller may have
    // submitted the job to another entry.
    Refuse(exchange, spec, CallerLeft());
    return;
  }
  if (draining_) {
    Refuse(exchange, spec,
           MakeNotRunOutcome(
               "draining", "this entry is stopping",
               "submit again; the load balancer chooses another entry"));
    return;
  }
  const job_ptr job = AddJob(exchange, std::move(spec));
  if (dependencies_.may_be_held_back()) {
    Hold(job);
  } else {
    Dispatch(job);
  }
}

void job_api::Hold(const job_ptr& job) {
  job->is_held = true;
  dependencies_.timers.After(
      kCallerCheckTime,
      [this, id = job->id, alive = std::weak_ptr<void>(alive_)] {
        if (!alive.expired()) {
          Release(id);
        }
      });
}

void job_api::Release(job_id id) {
  const auto found = jobs_.find(id);
  if (found != jobs_.end() && std::exchange(found->second->is_held, false)) {
    Dispatch(found->second);
  }
}

void job_api::StartWithClaim(const exchange_ptr& exchange, job_spec spec) {
  const wall_time now = dependencies_.time.WallNow();
  if (const auto refusal = CheckKey(spec.request_key, now)) {
    Refuse(exchange, spec, *refusal);
    return;
  }
  const std::uint64_t content_hash = ContentHash(spec);
  if (const auto running = jobs_by_key_.find(spec.request_key);
      running != jobs_by_key_.end()) {
    if (running->second->content_hash != content_hash) {
      Refuse(exchange, spec, KeyReused());
    } else {
      Join(running->second, exchange);
    }
    return;
  }
  if (const cached_answer* cached = answers_.Find(spec.request_key, now)) {
    if (cached->content_hash != content_hash) {
      Refuse(exchange, spec, KeyReused());
    } else {
      Answer(exchange, ToString(cached->job), cached->outcome);
    }
    return;
  }
  if (draining_) {
    StartUnlessDraining(exchange, std::move(spec));  // Refuses the job.
    return;
  }
  const job_ptr job = AddJob(exchange, std::move(spec));
  job->content_hash = content_hash;
  job->key_time = ParseRequestKey(job->spec.request_key)->time;
  jobs_by_key_.emplace(job->spec.request_key, job);
  dependencies_.claims.Acquire(
      job->spec.request_key, content_hash,
      [this, id = job->id,
       alive = std::weak_ptr<void>(alive_)](const claim_decision& decision) {
        if (!alive.expired()) {
          OnClaim(id, decision);
        }
      });
}

job_api::job_ptr job_api::AddJob(const exchange_ptr& exchange, job_spec spec) {
  auto job = std::make_shared<active_job>();
  job->id = {dependencies_.entry, ++last_sequence_};
  job->spec = std::move(spec);
  job->waited = exchange->request().waited;
  job->arrival_time = dependencies_.time.Now() - job->waited;
  job->request_id = exchange->request().Header(kRequestIdHeader);
  job->times = exchange->request().times;
  job->tasks = job->spec.tasks.size();
  jobs_.emplace(job->id, job);
  Join(job, exchange);
  return job;
}

void job_api::Join(const job_ptr& job, const exchange_ptr& exchange) {
  job->callers.push_back(exchange);
  exchange->OnDisconnected([this, id = job->id, raw = exchange.get()] {
    OnCallerDisconnected(id, raw);
  });
}

void job_api::OnClaim(job_id id, const claim_decision& decision) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  const job_ptr job = found->second;
  if (decision.what == claim_decision::kind::kGranted) {
    Dispatch(job);
    return;
  }
  const job_outcome outcome = OutcomeOfClaim(decision);
  if (decision.what == claim_decision::kind::kEnded &&
      decision.outcome.answer) {
    const int status = HttpStatusOfLabel(decision.outcome.outcome);
    Finish(job, outcome, {status, *decision.outcome.answer});
  } else {
    Finish(job, outcome);
  }
}

void job_api::Dispatch(const job_ptr& job) {
  job_spec spec = job->spec;
  // The deadline counts from the arrival; the claim has used up a part of it.
  spec.deadline -= std::chrono::duration_cast<std::chrono::milliseconds>(
      dependencies_.time.Now() - job->arrival_time);
  if (spec.deadline.count() <= 0) {
    OnOutcome(job->id,
              MakeNotRunOutcome("deadline_exceeded",
                                "the deadline passed before the job started",
                                "set a longer deadline"));
    return;
  }
  if (job->spec.idempotent) {
    job->spec.tasks.clear();  // The payloads are needed only once.
  }
  dependencies_.dispatch.Submit(
      job->id, std::move(spec),
      [this, id = job->id,
       alive = std::weak_ptr<void>(alive_)](job_outcome outcome) {
        PostToMainThread(
            [this, id, alive, outcome = std::move(outcome)]() mutable {
              if (!alive.expired()) {
                OnOutcome(id, std::move(outcome));
              }
            });
      });
}

void job_api::OnOutcome(job_id id, job_outcome outcome) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    LOG(DFATAL) << "http: second outcome job=" << ToString(id);
    return;
  }
  const job_ptr job = found->second;
  outcome = CheckResults(std::move(outcome));
  if (!job->spec.idempotent) {
    EndClaim(*job, outcome);
  }
  Finish(job, outcome);
}

void job_api::EndClaim(const active_job& job, const job_outcome& outcome) {
  const std::string& key = job.spec.request_key;
  if (!outcome && outcome.error().effect == job_effect::kNotRun) {
    dependencies_.claims.Release(key);
    return;
  }
  dependencies_.claims.End(key, {std::string(OutcomeLabel(outcome)),
                                 EncodeOutcome(ToString(job.id), outcome)});
  answers_.Put(key,
               {job.id, job.content_hash, outcome, job.key_time + kClaimWindow},
               dependencies_.time.WallNow());
}

void job_api::OnCallerDisconnected(job_id id, const http_exchange* exchange) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  found->second->caller = caller_state::kLeft;
  auto& callers = found->second->callers;
  std::erase_if(callers, [exchange](const exchange_ptr& caller) {
    return caller.get() == exchange;
  });
  if (!callers.empty() || !found->second->spec.idempotent) {
    return;
  }
  if (found->second->is_held) {
    OnOutcome(id, CallerLeft());
  } else {
    dependencies_.dispatch.Cancel(id);
  }
}

void job_api::Finish(const job_ptr& job, const job_outcome& outcome) {
  Finish(job, outcome, dependencies_.format.Encode(ToString(job->id), outcome));
}

void job_api::Finish(const job_ptr& job,
                     const job_outcome& outcome,
                     const http_response& response) {
  jobs_.erase(job->id);
  if (!job->spec.idempotent) {
    jobs_by_key_.erase(job->spec.request_key);
  }
  Count(job->spec, job->arrival_time, outcome);
  LogDecision(*job, outcome);
  for (const exchange_ptr& caller : std::exchange(job->callers, {})) {
    caller->Reply(response);
  }
}

void job_api::Refuse(const exchange_ptr& exchange,
                     const job_spec& spec,
                     const job_outcome& outcome) {
  Count(spec, dependencies_.time.Now(), outcome);
  active_job refused;
  refused.spec = spec;
  refused.tasks = spec.tasks.size();
  refused.waited = exchange->request().waited;
  refused.arrival_time = dependencies_.time.Now() - refused.waited;
  refused.request_id = exchange->request().Header(kRequestIdHeader);
  refused.times = exchange->request().times;
  refused.caller = exchange->request().caller;
  LogDecision(refused, outcome);
  Answer(exchange, "", outcome);
}

void job_api::LogDecision(const active_job& job, const job_outcome& outcome) {
  if (!log_.Allows(dependencies_.time.Now())) {
    return;
  }
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      dependencies_.time.Now() - job.arrival_time);
  const shared_config config = dependencies_.config();
  std::ostringstream line;
  line << "job: " << (outcome ? "complete" : "failed")
       << " request=" << job.request_id << " name=" << job.spec.name
       << " id=" << ToString(job.id) << " service=" << job.spec.service
       << " profile=" << job.spec.profile << " tasks=" << job.tasks
       << " after_ms=" << elapsed.count() << " waited_ms=" << job.waited.count()
       << " deadline_ms=" << job.spec.deadline.count()
       << " connection_ms=" << Millis(job.times.first_byte - job.times.accepted)
       << " read_ms=" << Millis(job.times.complete - job.times.first_byte)
       << " callers=" << job.callers.size()
       << " caller=" << ToString(job.caller)
       << " config=" << (config ? config->revision.value : 0);
  if (!outcome) {
    line << " effect=" << ToString(outcome.error().effect)
         << " code=" << outcome.error().code << " reason=\""
         << outcome.error().message << "\"";
  }
  line << log_.TakeLinesLeftOutField();
  LOG(INFO) << line.str();
}

void job_api::Count(const job_spec& spec,
                    steady_time arrival_time,
                    const job_outcome& outcome) {
  // Callers choose the service name. Only configured services become labels,
  // so that callers cannot create any number of metric series.
  const shared_config config = dependencies_.config();
  const bool known = config && config->services.contains(spec.service);
  const metric_labels labels = {
      {"service", known ? spec.service : "other"},
      {"outcome", std::string(OutcomeLabel(outcome))}};
  dependencies_.metrics
      .Counter("jayrill_jobs_total", "Answered jobs by outcome.", labels)
      .Add();
  dependencies_.metrics
      .Histogram("jayrill_job_seconds",
                 "Time from the arrival of a job to its answer.", labels)
      .Observe(dependencies_.time.Now() - arrival_time);
}

}  // namespace jayrill
