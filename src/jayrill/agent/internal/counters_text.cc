#include "jayrill/agent/internal/counters_text.h"

#include <sstream>
#include <string>
#include <string_view>

#include "jayrill/job/job_codec.h"

namespace jayrill::agent::internal {

namespace {

struct counter_field {
  std::string_view name;
  std::uint64_t agent_counters::*member;
};

constexpr counter_field kFields[] = {
    {"admitted", &agent_counters::admitted},
    {"duplicates", &agent_counters::duplicates},
    {"fenced", &agent_counters::fenced},
    {"calls", &agent_counters::calls},
    {"succeeded", &agent_counters::succeeded},
    {"failed", &agent_counters::failed},
    {"unknown", &agent_counters::unknown},
    {"interrupted", &agent_counters::interrupted},
    {"silent_entries", &agent_counters::silent_entries},
    {"dropped_results", &agent_counters::dropped_results},
    {"pauses", &agent_counters::pauses},
    {"lost_sessions", &agent_counters::lost_sessions},
    {"reports", &agent_counters::reports},
    {"connects", &agent_counters::connects},
    {"out_list_reads", &agent_counters::out_list_reads},
    {"failed_out_list_reads", &agent_counters::failed_out_list_reads},
};

}  // namespace

std::string ToText(const agent_view& view,
                   const lost_call_counters& lost_calls) {
  std::ostringstream text;
  for (const counter_field& field : kFields) {
    text << "jayrill_agent_" << field.name << "_total "
         << view.counters.*field.member << '\n';
  }
  for (std::size_t reason = 1; reason < kNotRunReasons; ++reason) {
    text << "jayrill_agent_not_run_total{reason=\""
         << ToString(static_cast<not_run_reason>(reason)) << "\"} "
         << view.counters.not_run.at(reason) << '\n';
  }
  text << "jayrill_agent_busy_slots " << view.status.busy << '\n'
       << "jayrill_agent_slots " << view.status.slots << '\n'
       << "jayrill_agent_queued " << view.status.queued << '\n'
       << "jayrill_agent_config_revision " << view.status.revision.value << '\n'
       << "jayrill_agent_ignored_announcements_total "
       << view.ignored_announcements << '\n'
       << "jayrill_agent_connected_entries " << view.connected_entries << '\n';
  for (const auto& [name, usage] : view.queues) {
    const std::string label = "{queue=" + QuoteJson(name) + "} ";
    text << "jayrill_agent_queue_core_seconds_total" << label
         << usage.core_seconds << '\n'
         << "jayrill_agent_queue_returned_total" << label << usage.returned
         << '\n';
  }
  const char* const lost = "jayrill_agent_lost_calls_total{call=\"";
  text << lost << "start\"} " << lost_calls.starts << '\n'
       << lost << "stop\"} " << lost_calls.stops << '\n'
       << lost << "report\"} " << lost_calls.reports << '\n';
  return text.str();
}

}  // namespace jayrill::agent::internal
