#include "jayrill/cli/role_settings.h"

#include <absl/flags/flag.h>

#include "jayrill/cli/flags.h"

namespace jayrill {

namespace {

/// \returns how long an entry and an agent may receive nothing from each other
/// before each treats the other as gone. This is half of the time after which
/// callers repeat a job. In the other half the periodic checks detect the
/// silence and the runs are stopped.
std::chrono::milliseconds SilenceTimeout() {
  return std::chrono::milliseconds(absl::GetFlag(FLAGS_repeat_after_ms) / 2);
}

/// \returns how far the lease of a run may reach beyond the time at which its
/// entry is last known to have waited for it: four fifths of the time after
/// which callers repeat a job. The last fifth is for a slow clock of the
/// minion, the end of the run, and an entry that learns late that its caller
/// has left.
std::chrono::milliseconds UnawaitedLimit() {
  return std::chrono::milliseconds(absl::GetFlag(FLAGS_repeat_after_ms) * 4 /
                                   5);
}

}  // namespace

lease_settings LeaseSettingsFromFlags() {
  lease_settings settings;
  settings.lease = std::chrono::milliseconds(absl::GetFlag(FLAGS_lease_ms));
  settings.unawaited_limit = UnawaitedLimit();
  return settings;
}

entry_settings EntrySettingsFromFlags() {
  entry_settings settings;
  settings.id = absl::GetFlag(FLAGS_id);
  settings.data_centre = absl::GetFlag(FLAGS_data_centre);
  settings.http_listen = absl::GetFlag(FLAGS_http_listen);
  settings.rpc_listen = absl::GetFlag(FLAGS_rpc_listen);
  settings.http_advertise = absl::GetFlag(FLAGS_http_advertise);
  settings.rpc_advertise = absl::GetFlag(FLAGS_rpc_advertise);
  settings.store_endpoints = absl::GetFlag(FLAGS_store_endpoints);
  settings.health_listen = absl::GetFlag(FLAGS_health_listen);
  settings.limits.silence_timeout = SilenceTimeout();
  settings.limits.slow_start =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_slow_start_ms));
  settings.stop_delay =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_stop_delay_ms));
  settings.strategy = absl::GetFlag(FLAGS_placement_strategy);
  settings.limits.remote_factor = absl::GetFlag(FLAGS_remote_factor);
  settings.processor_cores = absl::GetFlag(FLAGS_processor_cores);
  settings.operator_secret = absl::GetFlag(FLAGS_operator_secret);
  return settings;
}

agent_settings AgentSettingsFromFlags() {
  agent_settings settings;
  settings.id = absl::GetFlag(FLAGS_id);
  settings.data_centre = absl::GetFlag(FLAGS_data_centre);
  settings.worker = absl::GetFlag(FLAGS_worker);
  settings.rack = absl::GetFlag(FLAGS_rack);
  settings.http_address = absl::GetFlag(FLAGS_announce_listen);
  settings.entries = absl::GetFlag(FLAGS_entries);
  settings.entry_limit =
      static_cast<std::uint32_t>(absl::GetFlag(FLAGS_entry_limit));
  settings.silence_timeout = SilenceTimeout();
  settings.status_interval =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_status_interval_ms));
  settings.stop_limit =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_stop_limit_ms));
  settings.queue_limit =
      static_cast<std::uint32_t>(absl::GetFlag(FLAGS_queue_limit));
  return settings;
}

sample_settings SampleSettingsFromFlags() {
  sample_settings settings;
  settings.service = absl::GetFlag(FLAGS_service);
  settings.http_address = absl::GetFlag(FLAGS_listen);
  settings.agent_address = absl::GetFlag(FLAGS_agent);
  settings.slots = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_slots));
  settings.slowness = absl::GetFlag(FLAGS_slowness);
  settings.fault = ParseSampleFault(absl::GetFlag(FLAGS_faults))
                       .value_or(sample_fault::kNone);
  settings.record = absl::GetFlag(FLAGS_record);
  return settings;
}

}  // namespace jayrill
