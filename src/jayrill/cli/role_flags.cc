#include <absl/flags/flag.h>

#include "jayrill/cli/flags.h"

ABSL_FLAG(std::string,
          id,
          "",
          "Name of this process, unique among its role and kept over restarts");
ABSL_FLAG(std::string, data_centre, "", "Data centre of this process");
ABSL_FLAG(std::string,
          http_listen,
          "127.0.0.1:8080",
          "Address for jobs, operators and metrics");
ABSL_FLAG(std::string, rpc_listen, "127.0.0.1:8081", "Address for agents");
ABSL_FLAG(std::string,
          http_advertise,
          "",
          "HTTP address that others are told; empty: the listen address");
ABSL_FLAG(std::string,
          rpc_advertise,
          "",
          "RPC address that agents are told; empty: the listen address");
ABSL_FLAG(std::vector<std::string>,
          store_endpoints,
          {},
          "Addresses of the platform's key-value service");
ABSL_FLAG(std::string,
          placement_strategy,
          "jayrill",
          "How minions are chosen; all but jayrill are baselines");
ABSL_FLAG(std::string,
          operator_secret,
          "",
          "Secret that operators share with the entries");
ABSL_FLAG(std::string, worker, "", "Worker (machine) that this agent runs on");
ABSL_FLAG(std::string, rack, "", "Rack of the worker");
ABSL_FLAG(std::string,
          announce_listen,
          "127.0.0.1:8082",
          "Address at which the minion announces itself");
ABSL_FLAG(std::vector<std::string>,
          entries,
          {},
          "RPC addresses of some entries; the others are learned from them");
ABSL_FLAG(std::int64_t,
          queue_limit,
          4096,
          "Most starts that wait at an agent; more are refused as not run");
ABSL_FLAG(std::string,
          listen,
          "127.0.0.1:8083",
          "Address at which the sample backend runs tasks");
ABSL_FLAG(std::string,
          agent,
          "127.0.0.1:8082",
          "Announce address of the agent beside this minion");
ABSL_FLAG(std::string, service, "sample", "Service that the tasks belong to");
ABSL_FLAG(std::int64_t, slots, 8, "Tasks that the minion runs at a time");
ABSL_FLAG(double,
          slowness,
          1.0,
          "Run time relative to the time that a task asks for");
ABSL_FLAG(std::string,
          faults,
          "none",
          "What the sample backend does wrong with every task");
ABSL_FLAG(bool,
          record,
          true,
          "Keep a record of each execution at /executions; it grows");
ABSL_FLAG(bool,
          demo,
          false,
          "Submit a sample job, print the whole answer and stop");
ABSL_FLAG(bool,
          platform,
          false,
          "Speak the users' platform: its store, clients and minions");
ABSL_FLAG(std::string,
          health_listen,
          "",
          "Second address of the entry, for readiness and metrics only");
ABSL_FLAG(double,
          processor_cores,
          1.0,
          "Processor time that the entry may use; agents report less often to "
          "one with less");
ABSL_FLAG(std::int64_t,
          repeat_after_ms,
          0,
          "How soon callers repeat a job whose connection broke; 0: never. No "
          "run outlives it");
ABSL_FLAG(std::int64_t,
          lease_ms,
          1000,
          "Lease of runs at a minion that keeps them for its agent");
ABSL_FLAG(std::int64_t,
          slow_start_ms,
          5000,
          "Time over which a minion that joins gets its full share");
ABSL_FLAG(std::int64_t,
          stop_delay_ms,
          0,
          "Time for which a stopping entry still takes jobs");
ABSL_FLAG(std::int64_t,
          stop_limit_ms,
          120000,
          "Longest graceful stop of an agent");
ABSL_FLAG(
    std::int64_t,
    status_interval_ms,
    20,
    "Shortest time between two status reports of an agent, for each entry "
    "beyond the third once more");
