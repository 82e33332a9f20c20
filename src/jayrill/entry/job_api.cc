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

// Answers that are kept share the 32 MB of a node with everything else.
constexpr std::size_t kMaxAnswers = 10'000;
constexpr std::size_t kMaxAnswerBytes = std::size_t{4} * 1024 * 1024;

std::string_view LabelOf(const job_outcome& outcome) {
  return outcome ? "complete" : ToString(outcome.error().effect);
}

/// \returns the HTTP status of an answer that a claim keeps.
int StatusOfEnd(const std::string& label) {
  constexpr int kOk = 200;
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  if (label == "complete") {
    return kOk;
  }
  return label == ToString(job_effect::kRanAndFailed) ? kBadGateway
                                                      : kGatewayTimeout;
}

/// Header by which callers name their requests.
constexpr char kRequestIdHeader[] = "request-id";

}  // namespace

job_api::job_api(job_api_parts parts)
    : parts_(std::move(parts)),
      answers_(kMaxAnswers, kMaxAnswerBytes),
      alive_(std::make_shared<char>()) {}

job_api::~job_api() {
  for (const auto& [id, job] : jobs_) {
    for (const exchange_ptr& caller : job->callers) {
      caller->OnGone(nullptr);
    }
  }
}

void job_api::Answer(const exchange_ptr& exchange,
                     const std::string& id,
                     const job_outcome& outcome) {
  exchange->Reply(parts_.format.Encode(id, outcome));
}

void job_api::Handle(const exchange_ptr& exchange) {
  const shared_config config = parts_.config();
  if (!config) {
    Refuse(exchange, {},
           NotRun("no_configuration", "this entry has no configuration yet",
                  "submit again after a second"));
    return;
  }
  auto spec = parts_.format.Decode(exchange->request(), *config);
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
    Start(exchange, std::move(*spec));
  } else {
    StartClaimed(exchange, std::move(*spec));
  }
}

void job_api::Start(const exchange_ptr& exchange, job_spec spec) {
  if (draining_) {
    Refuse(exchange, spec,
           NotRun("draining", "this entry is stopping",
                  "submit again; the load balancer chooses another entry"));
    return;
  }
  Dispatch(AddJob(exchange, std::move(spec)));
}

void job_api::StartClaimed(const exchange_ptr& exchange, job_spec spec) {
  const wall_time now = parts_.time.WallNow();
  if (const auto refusal = CheckKey(spec.request_key, now)) {
    Refuse(exchange, spec, *refusal);
    return;
  }
  const std::uint64_t content = ContentHash(spec);
  if (const auto running = by_key_.find(spec.request_key);
      running != by_key_.end()) {
    if (running->second->content != content) {
      Refuse(exchange, spec, KeyReused());
    } else {
      Join(running->second, exchange);
    }
    return;
  }
  if (const kept_answer* kept = answers_.Find(spec.request_key, now)) {
    if (kept->content != content) {
      Refuse(exchange, spec, KeyReused());
    } else {
      Answer(exchange, ToString(kept->job), kept->outcome);
    }
    return;
  }
  if (draining_) {
    Start(exchange, std::move(spec));  // Refuses it.
    return;
  }
  const job_ptr job = AddJob(exchange, std::move(spec));
  job->content = content;
  job->key_time = ParseRequestKey(job->spec.request_key)->time;
  by_key_.emplace(job->spec.request_key, job);
  parts_.claims.Acquire(
      job->spec.request_key, content,
      [this, id = job->id,
       alive = std::weak_ptr<void>(alive_)](const claim_decision& decision) {
        if (!alive.expired()) {
          OnClaim(id, decision);
        }
      });
}

job_api::job_ptr job_api::AddJob(const exchange_ptr& exchange, job_spec spec) {
  auto job = std::make_shared<active_job>();
  job->id = {parts_.entry, ++last_sequence_};
  job->spec = std::move(spec);
  job->arrived = parts_.time.Now();
  job->request_id = exchange->request().Header(kRequestIdHeader);
  job->tasks = job->spec.tasks.size();
  jobs_.emplace(job->id, job);
  Join(job, exchange);
  return job;
}

void job_api::Join(const job_ptr& job, const exchange_ptr& exchange) {
  job->callers.push_back(exchange);
  exchange->OnGone(
      [this, id = job->id, raw = exchange.get()] { OnCallerGone(id, raw); });
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
    const int status = StatusOfEnd(decision.outcome.outcome);
    Finish(job, outcome, {status, *decision.outcome.answer});
  } else {
    Finish(job, outcome);
  }
}

void job_api::Dispatch(const job_ptr& job) {
  job_spec spec = job->spec;
  // The deadline counts from the arrival, and the claim took some of it.
  spec.deadline -= std::chrono::duration_cast<std::chrono::milliseconds>(
      parts_.time.Now() - job->arrived);
  if (spec.deadline.count() <= 0) {
    OnOutcome(job->id, NotRun("deadline_exceeded",
                              "the deadline passed before the job started",
                              "set a longer deadline"));
    return;
  }
  if (job->spec.idempotent) {
    job->spec.tasks.clear();  // The payloads are needed only once.
  }
  parts_.dispatch.Submit(
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
    parts_.claims.Release(key);
    return;
  }
  parts_.claims.End(key, {std::string(LabelOf(outcome)),
                          EncodeOutcome(ToString(job.id), outcome)});
  answers_.Put(key, {job.id, job.content, outcome, job.key_time + kClaimWindow},
               parts_.time.WallNow());
}

void job_api::OnCallerGone(job_id id, const http_exchange* exchange) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  auto& callers = found->second->callers;
  std::erase_if(callers, [exchange](const exchange_ptr& caller) {
    return caller.get() == exchange;
  });
  if (callers.empty() && found->second->spec.idempotent) {
    parts_.dispatch.Cancel(id);
  }
}

void job_api::Finish(const job_ptr& job, const job_outcome& outcome) {
  Finish(job, outcome, parts_.format.Encode(ToString(job->id), outcome));
}

void job_api::Finish(const job_ptr& job,
                     const job_outcome& outcome,
                     const http_response& response) {
  jobs_.erase(job->id);
  if (!job->spec.idempotent) {
    by_key_.erase(job->spec.request_key);
  }
  Count(job->spec, job->arrived, outcome);
  LogDecision(*job, outcome);
  for (const exchange_ptr& caller : std::exchange(job->callers, {})) {
    caller->Reply(response);
  }
}

void job_api::Refuse(const exchange_ptr& exchange,
                     const job_spec& spec,
                     const job_outcome& outcome) {
  Count(spec, parts_.time.Now(), outcome);
  active_job refused;
  refused.spec = spec;
  refused.tasks = spec.tasks.size();
  refused.arrived = parts_.time.Now();
  refused.request_id = exchange->request().Header(kRequestIdHeader);
  LogDecision(refused, outcome);
  Answer(exchange, "", outcome);
}

void job_api::LogDecision(const active_job& job, const job_outcome& outcome) {
  if (!log_.Allows(parts_.time.Now())) {
    return;
  }
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      parts_.time.Now() - job.arrived);
  const shared_config config = parts_.config();
  std::ostringstream line;
  line << "job: " << (outcome ? "complete" : "failed")
       << " request=" << job.request_id << " name=" << job.spec.name
       << " id=" << ToString(job.id) << " service=" << job.spec.service
       << " profile=" << job.spec.profile << " tasks=" << job.tasks
       << " after_ms=" << waited.count()
       << " deadline_ms=" << job.spec.deadline.count()
       << " callers=" << job.callers.size()
       << " config=" << (config ? config->revision.value : 0);
  if (!outcome) {
    line << " effect=" << ToString(outcome.error().effect)
         << " code=" << outcome.error().code << " reason=\""
         << outcome.error().message << "\"";
  }
  line << log_.TakeNote();
  LOG(INFO) << line.str();
}

void job_api::Count(const job_spec& spec,
                    steady_time arrived,
                    const job_outcome& outcome) {
  // Callers choose the text of a service; only configured ones become labels.
  const shared_config config = parts_.config();
  const bool known = config && config->services.contains(spec.service);
  const metric_labels labels = {{"service", known ? spec.service : "other"},
                                {"outcome", std::string(LabelOf(outcome))}};
  parts_.metrics
      .Counter("jayrill_jobs_total", "Answered jobs by outcome.", labels)
      .Add();
  parts_.metrics
      .Histogram("jayrill_job_seconds",
                 "Time from the arrival of a job to its answer.", labels)
      .Observe(parts_.time.Now() - arrived);
}

}  // namespace jayrill
