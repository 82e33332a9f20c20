#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fake_cluster.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAgents = 4;

/// Time after which the caller submits its job again.
constexpr milliseconds kRepeatAfter{1300};

/// Submissions of a caller whose jobs never get a final answer.
constexpr int kMaxSubmissions = 6;

job_spec NamedJob() {
  job_spec spec = fake_cluster::Job(1, seconds(5));
  spec.name = "5c0e7a21d94b36f8";
  spec.repeatable = true;
  return spec;
}

enum class entry_choice {
  kOne,        ///< All submissions reach the same entry.
  kAlternate,  ///< They reach two entries in turn.
  kRestarted,  ///< The entry has restarted before each submission.
};

/// Plays the submissions of one job whose task crashes each minion that starts
/// it, on agents that report to all entries.
class crashing_job {
 public:
  crashing_job(entry_choice choice, crash_role role)
      : choice_(choice), role_(role) {
    AddEntry();
    if (choice == entry_choice::kAlternate) {
      AddEntry();
    }
  }

  /// Submits the job until it has a final answer.
  /// \returns the effect of the last answer.
  job_effect Run() {
    job_effect effect = job_effect::kMayHaveRun;
    for (int i = 0; i < kMaxSubmissions; ++i) {
      if (choice_ == entry_choice::kRestarted) {
        entries_.clear();
        AddEntry();
      }
      effect = Submit(*entries_[static_cast<std::size_t>(i) % entries_.size()]);
      if (effect == job_effect::kRanAndFailed) {
        break;
      }
      for (const auto& entry : entries_) {
        Advance(*entry, kRepeatAfter);
      }
    }
    return effect;
  }

  int starts() const { return starts_; }

 private:
  void AddEntry() {
    entries_.push_back(std::make_unique<fake_cluster>());
    fake_cluster& entry = *entries_.back();
    entry.ChangeConfig({});
    for (std::size_t i = 0; i < kAgents; ++i) {
      fake_agent& agent = entry.AddAgent("dc1");
      agent.status().crashes = crashes_[i];
      agent.Connect(entry.entry);
    }
    entry.AcknowledgePushes();
    Advance(entry, seconds(1));
  }

  static void Advance(fake_cluster& entry, milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
      entry.entry.ConfirmConfig();
      for (fake_agent& agent : entry.agents) {
        agent.Report(entry.entry, true);
      }
      entry.Advance(milliseconds(100));
    }
  }

  job_effect Submit(fake_cluster& target) {
    const job_id job = target.Submit(NamedJob());
    while (target.CodeOf(job).empty()) {
      target.entry.Flush();
      CrashStartedMinions(target);
      Advance(target, milliseconds(100));
    }
    const job_outcome& outcome = target.decisions[job].front().outcome;
    return outcome ? job_effect::kRan : outcome.error().effect;
  }

  void CrashStartedMinions(fake_cluster& target) {
    for (std::size_t i = 0; i < kAgents; ++i) {
      target.agents[i].DeliverBatch();
      if (target.agents[i].queued_starts() == 0) {
        continue;
      }
      ++starts_;
      target.agents[i].Execute();
      target.agents[i].Finish(task_outcome::kInterrupted);
      crashes_[i].push_back(
          {NamedJob().name, 0, static_cast<std::uint64_t>(starts_), role_});
      for (const auto& entry : entries_) {
        entry->agents[i].status().crashes = crashes_[i];
        entry->agents[i].Report(entry->entry, true);
      }
    }
  }

  entry_choice choice_;
  crash_role role_;
  int starts_ = 0;
  std::vector<task_crash> crashes_[kAgents];
  std::vector<std::unique_ptr<fake_cluster>> entries_;
};

struct crash_case {
  const char* name;
  entry_choice choice;
  crash_role role;
  int starts;
};

class crashing_task_test : public testing::TestWithParam<crash_case> {};

// Guards against a task that crashes one minion after the other, over several
// submissions of its job and at several entries.
TEST_P(crashing_task_test, IsGivenUpForGood) {
  crashing_job job(GetParam().choice, GetParam().role);
  EXPECT_EQ(job.Run(), job_effect::kRanAndFailed);
  EXPECT_EQ(job.starts(), GetParam().starts);
}

constexpr auto kCause = crash_role::kLikelyCause;
constexpr auto kBeside = crash_role::kBeside;

INSTANTIATE_TEST_SUITE_P(
    entries,
    crashing_task_test,
    testing::Values(
        crash_case{"one", entry_choice::kOne, kCause, 2},
        crash_case{"alternate", entry_choice::kAlternate, kCause, 2},
        crash_case{"restarted", entry_choice::kRestarted, kCause, 2},
        crash_case{"one_beside", entry_choice::kOne, kBeside, 3},
        crash_case{"alternate_beside", entry_choice::kAlternate, kBeside, 3},
        crash_case{"restarted_beside", entry_choice::kRestarted, kBeside, 3}),
    [](const auto& tested) { return tested.param.name; });

const task_crash kFirst{"a", 0, 1, kCause};
const task_crash kSecond{"a", 0, 2, kCause};

// Guards against a task that is given up for one crash that several reports
// repeat.
TEST(crash_table_test, CountsACrashOnce) {
  crash_table table;
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(table.Add({1}, {kFirst}, {}).empty());
  }
  EXPECT_FALSE(table.IsGivenUp("a", 0));
  EXPECT_EQ(table.Add({1}, {kFirst, kSecond}, {}).size(), 1U);
  EXPECT_TRUE(table.IsGivenUp("a", 0));
  EXPECT_FALSE(table.IsGivenUp("a", 1));
}

// Guards against crashes of two minions with the same number that count once.
TEST(crash_table_test, TellsAgentsApart) {
  crash_table table;
  EXPECT_TRUE(table.Add({1}, {kFirst}, {}).empty());
  EXPECT_EQ(table.Add({2}, {kFirst}, {}).size(), 1U);
}

// Guards against a table that grows without bound, by time or by number.
TEST(crash_table_test, ForgetsOldTasks) {
  crash_table table;
  steady_time now;
  table.Add({1}, {kFirst, kSecond}, now);
  now += crash_table::kRetention + seconds(1);
  table.Add({1}, {{"b", 0, 3, kCause}}, now);
  EXPECT_FALSE(table.IsGivenUp("a", 0));
  EXPECT_EQ(table.size(), 1U);
  for (std::uint32_t i = 0; i < 2 * crash_table::kMaxTasks; ++i) {
    table.Add({1}, {{"c", i, i + 4, kCause}}, now);
  }
  EXPECT_EQ(table.size(), crash_table::kMaxTasks);
}

}  // namespace
}  // namespace jayrill
