#include "jayrill/entry/dispatch_metrics.h"

#include <algorithm>
#include <cstdint>

namespace jayrill {
namespace {

struct counter_field {
  const char* name;
  const char* help;
  std::uint64_t dispatch_counters::*value;
};

constexpr counter_field kCounters[] = {
    {"jayrill_jobs_submitted_total", "Jobs that reached the dispatcher.",
     &dispatch_counters::jobs_submitted},
    {"jayrill_jobs_completed_total", "Jobs with a whole answer.",
     &dispatch_counters::jobs_completed},
    {"jayrill_jobs_failed_total", "Jobs that failed or were refused.",
     &dispatch_counters::jobs_failed},
    {"jayrill_starts_total", "Starts sent to agents.",
     &dispatch_counters::starts},
    {"jayrill_results_total", "Results received from agents.",
     &dispatch_counters::results},
    {"jayrill_retries_total", "Tasks placed again after not_run.",
     &dispatch_counters::retries},
    {"jayrill_wasted_messages_total",
     "Messages for starts that did not run and results that were dropped.",
     &dispatch_counters::wasted_messages},
    {"jayrill_dropped_results_total", "Results that came too late.",
     &dispatch_counters::dropped_results},
    {"jayrill_sessions_lost_total", "Sessions with agents that were lost.",
     &dispatch_counters::sessions_lost},
    {"jayrill_jobs_settled_total",
     "Expiring jobs of which all starts had ended before the deadline.",
     &dispatch_counters::settled_in_time},
    {"jayrill_jobs_unsettled_total",
     "Expiring jobs with a start that had not ended at the deadline.",
     &dispatch_counters::settled_too_late},
    {"jayrill_pauses_total", "Pauses of this process beyond the pause limit.",
     &dispatch_counters::pauses},
};

struct gauge_field {
  const char* name;
  const char* help;
  std::int64_t value;
};

}  // namespace

namespace {

void UpdateNearMetrics(const std::string& profile,
                       const near_counters& counters,
                       metric_registry& metrics) {
  constexpr char kWaits[] = "jayrill_near_waits_total";
  constexpr char kWaitsHelp[] =
      "Waits for a place in the best rack, by whether they saved time.";
  metrics.Counter(kWaits, kWaitsHelp, {{"profile", profile}, {"paid", "true"}})
      .RaiseTo(counters.waits_paid);
  metrics.Counter(kWaits, kWaitsHelp, {{"profile", profile}, {"paid", "false"}})
      .RaiseTo(counters.waits_unpaid);
  metrics
      .Counter("jayrill_near_waited_ms_total",
               "Time of the waits for a place in the best rack.",
               {{"profile", profile}})
      .RaiseTo(static_cast<std::uint64_t>(counters.waited.count()) / 1000);
  metrics
      .Counter("jayrill_far_starts_total",
               "Starts in another rack than the best one.",
               {{"profile", profile}})
      .RaiseTo(counters.far_starts);
}

}  // namespace

void UpdateMetrics(const dispatch_status& status, metric_registry& metrics) {
  const dispatch_counters& counters = status.counters;
  for (const counter_field& field : kCounters) {
    metrics.Counter(field.name, field.help).RaiseTo(counters.*field.value);
  }
  constexpr char kMessages[] = "jayrill_messages_total";
  constexpr char kMessagesHelp[] = "Messages exchanged with agents.";
  metrics.Counter(kMessages, kMessagesHelp, {{"direction", "in"}})
      .RaiseTo(counters.messages_in);
  metrics.Counter(kMessages, kMessagesHelp, {{"direction", "out"}})
      .RaiseTo(counters.messages_out);
  for (const auto& [code, count] : counters.failures) {
    metrics
        .Counter("jayrill_job_failures_total", "Failed jobs by code.",
                 {{"code", code}})
        .RaiseTo(count);
  }
  for (const auto& [profile, near] : counters.near) {
    UpdateNearMetrics(profile, near, metrics);
  }
  const auto connected =
      std::count_if(status.agents.begin(), status.agents.end(),
                    [](const agent_info& agent) { return agent.connected; });
  const gauge_field gauges[] = {
      {"jayrill_jobs_undecided", "Admitted jobs that are not decided.",
       static_cast<std::int64_t>(status.jobs)},
      {"jayrill_waiting_tasks", "Tasks in the queue of this entry.",
       static_cast<std::int64_t>(status.waiting_tasks)},
      {"jayrill_outstanding_starts", "Starts without a result.",
       static_cast<std::int64_t>(status.outstanding)},
      {"jayrill_agents_connected", "Agents with a connection.",
       static_cast<std::int64_t>(connected)},
      {"jayrill_config_revision", "Configuration in force at this entry.",
       static_cast<std::int64_t>(status.revision.value)},
      {"jayrill_start_up_wait_ms",
       "How long this entry has waited for its first agents.",
       static_cast<std::int64_t>(counters.start_up_wait.count())},
      {"jayrill_isolated", "1 while this entry is isolated.",
       status.isolated ? 1 : 0},
  };
  for (const gauge_field& field : gauges) {
    metrics.Gauge(field.name, field.help).Set(field.value);
  }
}

}  // namespace jayrill
