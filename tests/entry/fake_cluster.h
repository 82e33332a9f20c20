#ifndef JAYRILL_TESTS_ENTRY_FAKE_CLUSTER_H_
#define JAYRILL_TESTS_ENTRY_FAKE_CLUSTER_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_agent.h"
#include "jayrill/placement/placement_strategy.h"

namespace jayrill {

/// A dispatcher with fake agents, a clock that only a test moves, and a record
/// of everything that was decided.
class fake_cluster : public dispatch_output {
 public:
  struct decision {
    job_outcome outcome;
    steady_time decided_at;
    int executions = 0;     ///< Of the job, at the time of its decision.
    bool was_sent = false;  ///< A start of the job was sent before.
  };

  explicit fake_cluster(const std::string& strategy = "jayrill",
                        const dispatch_limits& limits = {})
      : entry("dc1",
              *MakePlacementStrategy(strategy, random_source(1)),
              time,
              *this,
              limits) {}

  fake_agent& AddAgent(const std::string& data_centre) {
    return agents.emplace_back("agent-" + std::to_string(agents.size()),
                               data_centre, counts);
  }

  /// Offers a configuration with the next revision.
  void ChangeConfig(cluster_config next) {
    next.revision.value = ++revision;
    entry.OfferConfig(std::make_shared<const cluster_config>(std::move(next)));
  }

  /// Moves the clock by \p step and calls the entry at its ticks and deadlines.
  void Advance(steady_duration step) {
    const steady_time end = time.Now() + step;
    while (time.Now() < end) {
      steady_time next = std::min(end, time.Now() + kDispatchTickInterval);
      if (entry.NextDeadline()) {
        next = std::min(next, std::max(*entry.NextDeadline(), time.Now()));
      }
      time.Advance(next - time.Now());
      entry.Tick();
      entry.Flush();
    }
  }

  static job_spec Job(std::size_t tasks, std::chrono::milliseconds deadline) {
    job_spec spec;
    spec.service = "quotes";
    spec.team = "red";
    spec.deadline = deadline;
    spec.tasks.resize(tasks, {"price", "{}", std::chrono::milliseconds(100)});
    return spec;
  }

  job_id Submit(const job_spec& spec) {
    const job_id id{{9}, ++last_job};
    task_counts[id] = spec.tasks.size();
    deadlines[id] = time.Now() + spec.deadline;
    entry.Submit(id, spec);
    return id;
  }

  int Executions(job_id job) const {
    int sum = 0;
    for (const auto& [task, count] : counts) {
      sum += task.first == job ? count : 0;
    }
    return sum;
  }

  /// \returns the failure code of \p job, "complete", or "" when undecided.
  std::string CodeOf(job_id job) const {
    const auto found = decisions.find(job);
    if (found == decisions.end()) {
      return "";
    }
    const job_outcome& outcome = found->second.front().outcome;
    return outcome ? "complete" : outcome.error().code;
  }

  fake_agent* AgentOf(agent_handle handle) {
    for (fake_agent& agent : agents) {
      if (agent.connected() && agent.handle() == handle) {
        return &agent;
      }
    }
    return nullptr;
  }

  // dispatch_output
  void SendStarts(agent_handle handle, start_batch batch) override {
    for (const start_request& start : batch.starts) {
      sent_jobs.insert(start.job);
    }
    if (fake_agent* const agent = AgentOf(handle)) {
      sent.emplace_back(agent, batch.starts.size());
      sent_agent_times.push_back(batch.agent_time);
      agent->EnqueueBatch(std::move(batch));
    }
  }
  void SendCancel(agent_handle handle,
                  std::vector<start_number> numbers) override {
    cancelled += numbers.size();
    if (fake_agent* const agent = AgentOf(handle)) {
      agent->CancelStarts(numbers);
    }
  }
  void PushConfig(agent_handle handle,
                  shared_config config,
                  std::uint64_t push) override {
    if (fake_agent* const agent = AgentOf(handle)) {
      agent->Receive(config);
      pushes.emplace_back(handle, push);
    }
  }
  void Disconnect(agent_handle handle) override {
    if (fake_agent* const agent = AgentOf(handle)) {
      agent->Cut(entry, false);
    }
  }
  void JobDecided(job_id job, job_outcome outcome) override {
    decisions[job].push_back({std::move(outcome), time.Now(), Executions(job),
                              sent_jobs.contains(job)});
  }
  void NewerConfig(shared_config config) override {
    revision = std::max(revision, config->revision.value);
  }

  /// Acknowledges the configurations that were pushed to the agents.
  void AcknowledgePushes() {
    for (const auto& [handle, push] : std::exchange(pushes, {})) {
      entry.OnConfigAcknowledged(handle, push, entry.config()->revision);
    }
  }

  manual_clock time;
  execution_counts counts;
  std::deque<fake_agent> agents;
  std::uint64_t revision = 0;
  std::uint64_t last_job = 0;
  std::size_t cancelled = 0;
  std::vector<std::pair<fake_agent*, std::size_t>> sent;
  std::vector<std::chrono::microseconds> sent_agent_times;  ///< Of batches.
  std::set<job_id> sent_jobs;  ///< Jobs of which a start was sent.
  std::vector<std::pair<agent_handle, std::uint64_t>> pushes;
  std::map<job_id, std::vector<decision>> decisions;
  std::map<job_id, std::size_t> task_counts;
  std::map<job_id, steady_time> deadlines;
  dispatcher entry;
};

}  // namespace jayrill

#endif  // JAYRILL_TESTS_ENTRY_FAKE_CLUSTER_H_
