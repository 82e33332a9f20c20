#include <absl/flags/flag.h>

#include "jayrill/cli/flags.h"

ABSL_FLAG(
    std::string,
    id,
    "",
    "Name of this process; unique in its role and the same after a restart");
ABSL_FLAG(std::string, data_centre, "", "Data centre of this process");
ABSL_FLAG(std::string,
          http_listen,
          "127.0.0.1:8080",
          "Address for jobs, operators and metrics");
ABSL_FLAG(std::string, rpc_listen, "127.0.0.1:8081", "Address for agents");
ABSL_FLAG(std::string,
          http_advertise,
          "",
          "HTTP address that the entry announces to others; empty: the listen "
          "address");
ABSL_FLAG(std::string,
          rpc_advertise,
          "",
          "RPC address that the entry announces to agents; empty: the listen "
          "address");
ABSL_FLAG(std::string,
          config,
          "",
          "Path of the platform's settings file, in which an agent without a "
          "connection looks entries up");
ABSL_FLAG(std::vector<std::string>,
          store_endpoints,
          {},
          "Addresses of the platform's key-value service");
ABSL_FLAG(std::string,
          placement_strategy,
          "jayrill",
          "Strategy that chooses the minion of a task; all but jayrill are "
          "baselines for comparison");
ABSL_FLAG(std::string,
          operator_secret,
          "",
          "Secret that operators share with the entries");
ABSL_FLAG(std::string, worker, "", "Worker (machine) that this agent runs on");
ABSL_FLAG(std::string, rack, "", "Rack of the worker");
ABSL_FLAG(std::string,
          announce_listen,
          "127.0.0.1:8082",
          "Address at which the agent listens for announcements of its minion");
ABSL_FLAG(
    std::vector<std::string>,
    entries,
    {},
    "RPC addresses of some entries, from which the agent learns the others");
ABSL_FLAG(std::int64_t,
          entry_limit,
          12,
          "Most entries that an agent holds sessions with; of more entries it "
          "chooses by their processor share and data centre");
ABSL_FLAG(std::int64_t,
          queue_limit,
          4096,
          "Largest number of starts that wait at an agent; further starts are "
          "refused and their tasks not run");
ABSL_FLAG(std::string,
          listen,
          "127.0.0.1:8083",
          "Address at which the sample backend runs tasks");
ABSL_FLAG(std::string,
          agent,
          "127.0.0.1:8082",
          "Announce address of the agent beside this minion");
ABSL_FLAG(std::string, service, "sample", "Service that the tasks belong to");
ABSL_FLAG(std::int64_t,
          slots,
          8,
          "Number of tasks that the minion runs at the same time");
ABSL_FLAG(double,
          slowness,
          1.0,
          "Run time as a multiple of the time that a task asks for");
ABSL_FLAG(std::string,
          faults,
          "none",
          "Fault that the sample backend injects into every task");
ABSL_FLAG(
    bool,
    record,
    true,
    "Record each execution and serve the records at /executions; they are "
    "never deleted");
ABSL_FLAG(bool,
          demo,
          false,
          "Submit a sample job, print the complete answer and stop");
ABSL_FLAG(bool,
          platform,
          false,
          "Run on the users' platform, with its store, clients and minions");
ABSL_FLAG(std::string,
          health_listen,
          "",
          "Second address of the entry, for readiness and metrics only");
ABSL_FLAG(double,
          processor_cores,
          1.0,
          "Processor cores that the entry may use; agents report less often to "
          "an entry with fewer cores");
ABSL_FLAG(double,
          remote_factor,
          1.0,
          "Run time of a task outside its preferred rack relative to that in "
          "it; 1: racks do not matter");
ABSL_FLAG(
    std::int64_t,
    repeat_after_ms,
    0,
    "Time after which callers repeat a job whose connection broke; 0: they "
    "never do. Runs of the job are stopped before that time");
ABSL_FLAG(
    std::int64_t,
    lease_ms,
    1000,
    "Lease of a run at a minion of the platform, which stops the run when "
    "the agent no longer renews the lease");
ABSL_FLAG(std::int64_t,
          slow_start_ms,
          5000,
          "Time over which a newly joined minion ramps up to its full share of "
          "tasks");
ABSL_FLAG(std::int64_t,
          stop_delay_ms,
          0,
          "Time for which a stopping entry still accepts jobs");
ABSL_FLAG(std::int64_t,
          stop_limit_ms,
          120000,
          "Longest time that a graceful stop of an agent may take");
ABSL_FLAG(
    std::int64_t,
    status_interval_ms,
    20,
    "Shortest time between two status reports of an agent; each entry beyond "
    "the third adds the same time again");
