#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_cluster.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A random run of a cluster with faults, and the checks after each step.
class random_run {
 public:
  random_run(std::uint64_t seed, const std::string& strategy)
      : random_(seed), cluster_(strategy) {
    cluster_.AddAgent("dc1");
    cluster_.AddAgent("dc1");
    cluster_.AddAgent("dc2");
    config_.data_centres["dc1"];
    config_.data_centres["dc2"];
    if (random_.Below(4) > 0) {
      cluster_.ChangeConfig(config_);
      for (fake_agent& agent : cluster_.agents) {
        agent.Connect(cluster_.entry);
      }
      cluster_.Advance(seconds(1));
    }
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      fake_agent& agent = cluster_.agents[random_.Below(3)];
      Step(agent);
      cluster_.entry.Flush();
      Check();
    }
    Recover();
    // No job may be left when all deadlines have passed.
    cluster_.Advance(seconds(21));
    RC_ASSERT(cluster_.decisions.size() == cluster_.task_counts.size());
    RC_ASSERT(cluster_.entry.Status().jobs == 0);
    for (int i = 0; i < 200; ++i) {
      cluster_.agents[random_.Below(3)].DeliverBatch();
      cluster_.agents[random_.Below(3)].Execute();
    }
    Check();
    CheckOutcomes();
  }

 private:
  void Step(fake_agent& agent) {
    const std::uint64_t kind = random_.Below(100);
    if (kind < 4) {
      cluster_.Submit(fake_cluster::Job(
          1 + random_.Below(6),
          milliseconds(static_cast<std::int64_t>(random_.Below(20'000)))));
    } else if (kind < 36) {
      agent.DeliverBatch();
    } else if (kind < 56) {
      agent.Execute();
    } else if (kind < 74) {
      agent.Finish(RandomOutcome());
    } else if (kind < 90) {
      agent.Report(cluster_.entry, random_.Below(3) > 0);
    } else if (kind < 94) {
      cluster_.Advance(
          milliseconds(static_cast<std::int64_t>(random_.Below(500))));
    } else {
      InjectFault(agent, random_.Below(16));
    }
  }

  /// Runs the cluster without faults for a while.
  void Recover() {
    config_.data_centres["dc2"].out = false;
    cluster_.ChangeConfig(config_);
    cluster_.AcknowledgePushes();
    for (int i = 0; i < 300; ++i) {
      for (fake_agent& agent : cluster_.agents) {
        agent.status().draining = false;
        agent.status().service = "quotes";
        if (!agent.connected()) {
          agent.Connect(cluster_.entry);
        }
        agent.DeliverBatch();
        agent.Execute();
        agent.Finish(task_outcome::kSucceeded);
        agent.Report(cluster_.entry, true);
      }
      cluster_.Advance(milliseconds(5));
      Check();
    }
  }

  void InjectFault(fake_agent& agent, std::uint64_t kind) {
    switch (kind) {
      case 0:
        agent.Cut(cluster_.entry, random_.Below(2) == 0);
        break;
      case 1:
        agent.LoseBatch();
        agent.Cut(cluster_.entry, true);
        break;
      case 2:
        if (random_.Below(4) == 0) {
          agent.Restart();
        }
        break;
      case 3:
        if (cluster_.last_job > 0) {
          cluster_.entry.Cancel(
              job_id{{9}, 1 + random_.Below(cluster_.last_job)});
        }
        break;
      case 4:
        config_.data_centres["dc2"].out = random_.Below(2) == 0;
        cluster_.ChangeConfig(config_);
        break;
      case 5:  // Another entry sends the agent a newer configuration first.
        config_.data_centres["dc2"].out = random_.Below(2) == 0;
        config_.revision.value = cluster_.revision + 1;
        agent.Receive(std::make_shared<const cluster_config>(config_));
        break;
      case 6:
        if (agent.connected()) {
          cluster_.entry.OnAgentConfig(agent.config());
        }
        break;
      case 7:  // The entry is paused; deadlines may pass meanwhile.
        cluster_.time.Advance(milliseconds(1100));
        paused_until_ = cluster_.time.Now();
        break;
      case 8:
        agent.status().draining = random_.Below(2) == 0;
        break;
      case 9:
        agent.status().service = random_.Below(4) == 0 ? "" : "quotes";
        break;
      case 10:
        cluster_.AcknowledgePushes();
        cluster_.entry.ConfirmConfig();
        break;
      case 11:  // A late message brings an old configuration.
        if (cluster_.entry.config()) {
          const auto old = std::make_shared<const cluster_config>();
          cluster_.entry.OfferConfig(old);
          cluster_.entry.OnAgentConfig(old);
        }
        break;
      case 12:
        agent.ReportLate(cluster_.entry);
        break;
      case 13:
        agent.ConnectWithoutAnswer(cluster_.entry);
        break;
      default:
        if (!agent.connected()) {
          agent.Connect(cluster_.entry);
        }
        break;
    }
  }

  task_outcome RandomOutcome() {
    const std::uint64_t draw = random_.Below(60);
    return draw == 0   ? task_outcome::kFailed
           : draw == 1 ? task_outcome::kUnknown
                       : task_outcome::kSucceeded;
  }

  void Check() {
    for (const auto& [task, count] : cluster_.counts) {
      RC_ASSERT(count <= 1);
    }
    if (cluster_.entry.config()) {
      RC_ASSERT(cluster_.entry.config()->revision >= highest_revision_);
      highest_revision_ = cluster_.entry.config()->revision;
    }
    for (const auto& [agent, starts] : std::exchange(cluster_.sent, {})) {
      RC_ASSERT(!cluster_.entry.config()->IsOut(agent->hello().data_centre));
    }
    for (const auto& [job, decided] : cluster_.decisions) {
      RC_ASSERT(decided.size() == 1U);
      // A paused entry decides as soon as it resumes.
      RC_ASSERT(decided[0].decided_at <=
                std::max(cluster_.deadlines[job], paused_until_));
    }
  }

  void CheckOutcomes() {
    for (const auto& [job, decided] : cluster_.decisions) {
      const job_outcome& outcome = decided[0].outcome;
      const int now = cluster_.Executions(job);
      if (!outcome) {
        if (outcome.error().effect == job_effect::kNotRun) {
          RC_ASSERT(decided[0].executions == 0);
          RC_ASSERT(now == 0);
        } else {
          // The caller may not repeat the job, so a minion must be able to have
          // got a start of it.
          RC_ASSERT(decided[0].was_sent);
        }
        continue;
      }
      RC_ASSERT(outcome->results.size() == cluster_.task_counts[job]);
      RC_ASSERT(static_cast<std::size_t>(now) == outcome->results.size());
      for (std::uint32_t i = 0; i < outcome->results.size(); ++i) {
        RC_ASSERT(outcome->results[i] == AnswerOf(job, i));
      }
      ++completed;
    }
  }

  random_source random_;
  fake_cluster cluster_;
  cluster_config config_;
  steady_time paused_until_;
  config_revision highest_revision_;

 public:
  int completed = 0;
};

// Guards against tasks that run twice, jobs that are decided never, twice or
// late, jobs reported as not run that have run, answers that are partial, out
// of order or of another job, and a configuration that reverts. Faults: lost
// connections, lost and repeated messages, lost answers to hellos, replaced
// agents, pauses of the entry, cancels and changes of the configuration.
RC_GTEST_PROP(dispatcher_property, KeepsItsGuarantees, (std::uint64_t seed)) {
  random_run run(seed, "jayrill");
  run.Run(1000);
  RC_TAG(std::to_string(run.completed / 10) + "x jobs complete");
}

// Guards against a result of a replaced agent that is taken for the start with
// the same number in its successor's session.
TEST(dispatcher_test, DropsResultsOfAReplacedAgent) {
  fake_cluster cluster;
  fake_agent& agent = cluster.AddAgent("dc1");
  cluster.ChangeConfig({});
  agent.Connect(cluster.entry);
  cluster.Advance(seconds(1));
  cluster.Submit(fake_cluster::Job(1, seconds(20)));
  cluster.entry.Flush();
  agent.DeliverBatch();
  agent.Execute();
  agent.Finish(task_outcome::kSucceeded);
  agent.Restart();
  agent.Connect(cluster.entry);
  const job_id next = cluster.Submit(fake_cluster::Job(1, seconds(20)));
  cluster.entry.Flush();
  agent.ReportLate(cluster.entry);
  EXPECT_FALSE(cluster.decisions.contains(next));
  agent.DeliverBatch();
  agent.Execute();
  agent.Finish(task_outcome::kSucceeded);
  agent.Report(cluster.entry, true);
  ASSERT_TRUE(cluster.decisions.contains(next));
  EXPECT_TRUE(cluster.decisions[next].front().outcome.has_value());
}

// Checks the property for a strategy that queues tasks at the agents.
RC_GTEST_PROP(dispatcher_property,
              KeepsItsGuaranteesWhenBoundEarly,
              (std::uint64_t seed)) {
  random_run(seed, "round_robin").Run(1000);
}

}  // namespace
}  // namespace jayrill
