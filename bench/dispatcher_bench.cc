#include <benchmark/benchmark.h>

#include <deque>
#include <utility>
#include <vector>

#include "jayrill/entry/dispatcher.h"
#include "jayrill/placement/placement_strategy.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kSlots = 8;

/// Records the starts that were sent, so that the benchmark can send results.
class recording_output final : public dispatch_output {
 public:
  void SendStarts(agent_handle agent, start_batch batch) override {
    for (const start_request& order : batch.starts) {
      sent.emplace_back(agent, order.number);
    }
  }
  void SendCancel(agent_handle /*agent*/,
                  std::vector<start_number> /*numbers*/) override {}
  void PushConfig(agent_handle /*agent*/,
                  shared_config /*config*/,
                  std::uint64_t /*push*/) override {}
  void Disconnect(agent_handle /*agent*/) override {}
  void JobDecided(job_id /*job*/, job_outcome /*outcome*/) override {}
  void NewerConfig(shared_config /*config*/) override {}

  std::deque<std::pair<agent_handle, start_number>> sent;
};

/// A dispatcher with connected agents whose slots are all free.
struct bench_entry {
  explicit bench_entry(std::int64_t agents)
      : entry("dc1",
              *MakePlacementStrategy("jayrill", random_source(1)),
              time,
              output) {
    entry.OfferConfig(std::make_shared<const cluster_config>());
    for (std::int64_t i = 0; i < agents; ++i) {
      agent_hello hello;
      hello.agent_id = "agent-" + std::to_string(i);
      hello.process = incarnation{1};
      hello.data_centre = "dc1";
      hello.epoch = connection_epoch{1};
      hello.status.service = "quotes";
      hello.status.slots = kSlots;
      status = hello.status;
      connections.push_back(*entry.Connect(hello));
    }
    for (int i = 0; i < 4; ++i) {
      time.Advance(milliseconds(250));
      entry.Tick();
    }
  }

  void Submit(std::size_t tasks) {
    job_spec spec;
    spec.service = "quotes";
    spec.team = "red";
    spec.deadline = std::chrono::hours(1);
    spec.tasks.resize(
        tasks, {"price", R"({"metres":3,"rise":0.4})", milliseconds(100)});
    entry.Submit(job_id{{9}, ++last_job}, std::move(spec));
  }

  /// Reports success for the oldest start.
  void ReportSuccess() {
    const auto [agent, number] = output.sent.front();
    output.sent.pop_front();
    task_result result;
    result.number = number;
    result.outcome = task_outcome::kSucceeded;
    result.run_time = milliseconds(100);
    const auto& connection = connections[agent.value - 1];
    entry.OnReport(agent, connection.connection, {result}, status);
  }

  manual_clock time;
  recording_output output;
  dispatcher entry;
  minion_status status;
  std::vector<dispatcher::connect_reply> connections;
  std::uint64_t last_job = 0;
};

/// Measures the handling of one result and of the start that takes the free
/// slot, with a Flush after each result.
/// Arguments: number of agents, minimum number of waiting tasks.
void ChooseAndSend(benchmark::State& state) {
  bench_entry bench(state.range(0));
  const auto min_waiting = static_cast<std::size_t>(state.range(1));
  std::size_t waiting_left = 0;
  for (const auto _ : state) {
    if (waiting_left <= min_waiting) {
      state.PauseTiming();
      for (int i = 0; i < 100; ++i) {
        bench.Submit(19);
      }
      bench.entry.Flush();
      waiting_left = bench.entry.Status().waiting_tasks;
      state.ResumeTiming();
    }
    bench.ReportSuccess();
    bench.entry.Flush();
    --waiting_left;
  }
  state.SetItemsProcessed(state.iterations());
}

/// Measures a job of 19 tasks from its submission to its last result, with a
/// single Flush after the submission.
/// Argument: number of agents.
void WholeJobs(benchmark::State& state) {
  bench_entry bench(state.range(0));
  for (const auto _ : state) {
    bench.Submit(19);
    bench.entry.Flush();
    while (!bench.output.sent.empty()) {
      bench.ReportSuccess();
    }
  }
  state.SetItemsProcessed(state.iterations() * 19);
}

BENCHMARK(ChooseAndSend)->Args({190, 0})->Args({190, 10'000});
BENCHMARK(WholeJobs)->Arg(11)->Arg(190);

}  // namespace
}  // namespace jayrill

BENCHMARK_MAIN();
