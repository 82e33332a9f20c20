#ifndef JAYRILL_CLI_FLAGS_H_
#define JAYRILL_CLI_FLAGS_H_

#include <absl/flags/declare.h>

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// The Abseil flags that hold the values of the settings. Read them only after
/// ResolveSettings has set and checked them.

// Roles (entry, agent, sample-backend and standalone).
ABSL_DECLARE_FLAG(std::string, id);
ABSL_DECLARE_FLAG(std::string, data_centre);
ABSL_DECLARE_FLAG(std::string, http_listen);
ABSL_DECLARE_FLAG(std::string, rpc_listen);
ABSL_DECLARE_FLAG(std::string, http_advertise);
ABSL_DECLARE_FLAG(std::string, rpc_advertise);
ABSL_DECLARE_FLAG(std::string, config);
ABSL_DECLARE_FLAG(std::vector<std::string>, store_endpoints);
ABSL_DECLARE_FLAG(std::string, placement_strategy);
ABSL_DECLARE_FLAG(double, remote_factor);
ABSL_DECLARE_FLAG(std::string, operator_secret);
ABSL_DECLARE_FLAG(std::string, worker);
ABSL_DECLARE_FLAG(std::string, rack);
ABSL_DECLARE_FLAG(std::string, announce_listen);
ABSL_DECLARE_FLAG(std::vector<std::string>, entries);
ABSL_DECLARE_FLAG(std::int64_t, entry_limit);
ABSL_DECLARE_FLAG(std::int64_t, queue_limit);
ABSL_DECLARE_FLAG(std::string, listen);
ABSL_DECLARE_FLAG(std::string, agent);
ABSL_DECLARE_FLAG(std::string, service);
ABSL_DECLARE_FLAG(std::int64_t, slots);
ABSL_DECLARE_FLAG(double, slowness);
ABSL_DECLARE_FLAG(std::string, faults);
ABSL_DECLARE_FLAG(bool, record);
ABSL_DECLARE_FLAG(bool, demo);
ABSL_DECLARE_FLAG(bool, platform);
ABSL_DECLARE_FLAG(std::string, health_listen);
ABSL_DECLARE_FLAG(double, processor_cores);
ABSL_DECLARE_FLAG(std::int64_t, repeat_after_ms);
ABSL_DECLARE_FLAG(std::int64_t, lease_ms);
ABSL_DECLARE_FLAG(std::int64_t, slow_start_ms);
ABSL_DECLARE_FLAG(std::int64_t, status_interval_ms);
ABSL_DECLARE_FLAG(std::int64_t, stop_delay_ms);
ABSL_DECLARE_FLAG(std::int64_t, stop_limit_ms);

// Client commands.
ABSL_DECLARE_FLAG(std::vector<std::string>, entry);
ABSL_DECLARE_FLAG(std::string, operator_name);
ABSL_DECLARE_FLAG(std::string, reason);
ABSL_DECLARE_FLAG(std::int64_t, base_revision);
ABSL_DECLARE_FLAG(std::int64_t, timeout_ms);
ABSL_DECLARE_FLAG(std::int64_t, wait_ms);
ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(bool, force);
ABSL_DECLARE_FLAG(std::int64_t, urgency);
ABSL_DECLARE_FLAG(std::int64_t, max_tasks);
ABSL_DECLARE_FLAG(std::int64_t, max_running);
ABSL_DECLARE_FLAG(std::int64_t, max_deadline_ms);
ABSL_DECLARE_FLAG(std::vector<std::string>, data_centres);
ABSL_DECLARE_FLAG(std::int64_t, min_cores);
ABSL_DECLARE_FLAG(std::int64_t, min_memory_mb);
ABSL_DECLARE_FLAG(std::int64_t, min_accelerators);
ABSL_DECLARE_FLAG(std::string, profile);
ABSL_DECLARE_FLAG(std::int64_t, limit);
ABSL_DECLARE_FLAG(std::int64_t, tasks);
ABSL_DECLARE_FLAG(std::int64_t, work_ms);
ABSL_DECLARE_FLAG(std::string, kind);
ABSL_DECLARE_FLAG(std::string, team);
ABSL_DECLARE_FLAG(std::int64_t, deadline_ms);
ABSL_DECLARE_FLAG(bool, idempotent);
ABSL_DECLARE_FLAG(std::string, preferred_rack);
ABSL_DECLARE_FLAG(bool, same_rack);
ABSL_DECLARE_FLAG(std::string, request_key);

// The command `load`.
ABSL_DECLARE_FLAG(double, rate);
ABSL_DECLARE_FLAG(double, load_percent);
ABSL_DECLARE_FLAG(std::int64_t, duration_ms);
ABSL_DECLARE_FLAG(std::int64_t, seed);
ABSL_DECLARE_FLAG(std::string, trace);
ABSL_DECLARE_FLAG(std::string, trace_out);
ABSL_DECLARE_FLAG(std::string, fleet);
ABSL_DECLARE_FLAG(std::string, services);
ABSL_DECLARE_FLAG(std::string, urgencies);
ABSL_DECLARE_FLAG(std::string, teams);
ABSL_DECLARE_FLAG(double, idempotent_share);
ABSL_DECLARE_FLAG(std::int64_t, tasks_min);
ABSL_DECLARE_FLAG(std::int64_t, tasks_max);
ABSL_DECLARE_FLAG(std::int64_t, work_min_ms);
ABSL_DECLARE_FLAG(std::int64_t, work_max_ms);
ABSL_DECLARE_FLAG(double, long_share);
ABSL_DECLARE_FLAG(std::int64_t, long_min_ms);
ABSL_DECLARE_FLAG(std::int64_t, long_max_ms);
ABSL_DECLARE_FLAG(double, declared_error);
ABSL_DECLARE_FLAG(std::int64_t, burst_at_ms);
ABSL_DECLARE_FLAG(std::int64_t, burst_tasks);
ABSL_DECLARE_FLAG(std::int64_t, connections);

#endif  // JAYRILL_CLI_FLAGS_H_
