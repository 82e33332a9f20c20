#include <absl/flags/flag.h>

#include "jayrill/cli/flags.h"

ABSL_FLAG(
    std::vector<std::string>,
    entry,
    {"127.0.0.1:8080"},
    "HTTP addresses of entries; load sends to all in turn, other commands "
    "use the first that answers");
ABSL_FLAG(std::string,
          operator_name,
          "",
          "Name of the operator in the audit trail");
ABSL_FLAG(std::string,
          reason,
          "",
          "Why the change is made, for the audit trail");
ABSL_FLAG(std::int64_t,
          base_revision,
          -1,
          "Revision that the change is based on; -1: the current one");
ABSL_FLAG(std::int64_t, timeout_ms, 5000, "Longest wait for an answer");
ABSL_FLAG(std::int64_t,
          wait_ms,
          11000,
          "Longest wait until a change is in force at all processes");
ABSL_FLAG(bool, json, false, "Print JSON instead of a table");
ABSL_FLAG(bool,
          force,
          false,
          "Take the data centre out even when no other is in service");
ABSL_FLAG(std::int64_t,
          urgency,
          50,
          "Urgency of the profile; tasks of higher urgency start first");
ABSL_FLAG(std::int64_t,
          max_tasks,
          0,
          "Largest number of tasks of a job; 0: no limit");
ABSL_FLAG(std::int64_t,
          max_running,
          0,
          "Largest number of running tasks; 0: no limit");
ABSL_FLAG(std::int64_t, max_deadline_ms, 0, "Longest deadline; 0: no limit");
ABSL_FLAG(std::vector<std::string>,
          data_centres,
          {},
          "Data centres that the profile may use; empty: all");
ABSL_FLAG(std::int64_t,
          min_cores,
          0,
          "Smallest number of cores of the minion's worker");
ABSL_FLAG(std::int64_t,
          min_memory_mb,
          0,
          "Smallest memory of the minion's worker");
ABSL_FLAG(std::int64_t,
          min_accelerators,
          0,
          "Smallest number of accelerators of the minion's worker");
ABSL_FLAG(std::string, profile, "", "Profile that the service runs under");
ABSL_FLAG(std::int64_t,
          limit,
          50,
          "Largest number of audit records to print, newest first");
ABSL_FLAG(
    std::int64_t,
    tasks,
    0,
    "Number of tasks of the quick job, which is made from the flags; 0: read "
    "a job from a file or standard input");
ABSL_FLAG(std::int64_t, work_ms, 100, "Run time of each task of the quick job");
ABSL_FLAG(std::string, kind, "quick", "Kind of the tasks of the quick job");
ABSL_FLAG(std::string, team, "default", "Team that submits the job");
ABSL_FLAG(std::int64_t,
          deadline_ms,
          30000,
          "Time after its arrival within which a job must be answered");
ABSL_FLAG(bool,
          idempotent,
          true,
          "Whether the quick job may safely run more than once");
ABSL_FLAG(
    std::string,
    preferred_rack,
    "",
    "Rack in which the tasks run fastest, for example that of their data");
ABSL_FLAG(bool,
          same_rack,
          false,
          "The tasks run faster when all of them run in one rack");
ABSL_FLAG(std::string,
          request_key,
          "",
          "Key <unix-ms>-<name> of a job that is not idempotent; empty: a new "
          "one");
