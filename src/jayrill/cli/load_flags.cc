#include <absl/flags/flag.h>

#include "jayrill/cli/flags.h"

ABSL_FLAG(double, rate, 0, "Mean rate of jobs; 0: derived from load_percent");
ABSL_FLAG(double,
          load_percent,
          60,
          "Load as a share of the capacity of the fleet; used when rate is 0");
ABSL_FLAG(std::int64_t, duration_ms, 30000, "Time during which jobs are sent");
ABSL_FLAG(std::int64_t, seed, 1, "Seed of the random arrivals and tasks");
ABSL_FLAG(std::string,
          trace,
          "",
          "File of jobs to send instead of random ones; see docs/load.md");
ABSL_FLAG(std::string, trace_out, "", "File to which sent jobs are written");
ABSL_FLAG(std::string,
          fleet,
          "8:1.0",
          "Minions as count*slots:slowness,...; ideal response times and the "
          "rate for load_percent are computed from them");
ABSL_FLAG(std::string, services, "sample", "Services as name:weight,...");
ABSL_FLAG(std::string,
          urgencies,
          "",
          "Urgency of each service, in the same order; sets the profiles "
          "load-<service>, which needs the operator's secret");
ABSL_FLAG(std::string, teams, "load", "Teams as name:weight,...");
ABSL_FLAG(double, idempotent_share, 1.0, "Share of idempotent jobs");
ABSL_FLAG(std::int64_t, tasks_min, 1, "Smallest number of tasks of a job");
ABSL_FLAG(std::int64_t, tasks_max, 20, "Largest number of tasks of a job");
ABSL_FLAG(std::int64_t,
          work_min_ms,
          50,
          "Shortest run time of tasks that are not long");
ABSL_FLAG(std::int64_t,
          work_max_ms,
          1000,
          "Longest run time of tasks that are not long");
ABSL_FLAG(double, long_share, 0.03, "Share of long tasks among all tasks");
ABSL_FLAG(std::int64_t, long_min_ms, 2000, "Shortest run time of long tasks");
ABSL_FLAG(std::int64_t, long_max_ms, 5000, "Longest run time of long tasks");
ABSL_FLAG(double,
          declared_error,
          10,
          "Largest factor by which declared run times are wrong");
ABSL_FLAG(std::int64_t,
          burst_at_ms,
          0,
          "Time from the start of the load to the burst");
ABSL_FLAG(std::int64_t, burst_tasks, 0, "Tasks of the burst; 0: no burst");
ABSL_FLAG(
    std::int64_t,
    connections,
    240,
    "Largest number of connections to each entry; jobs that find none free "
    "are sent late");
