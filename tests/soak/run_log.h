#ifndef TESTS_SOAK_RUN_LOG_H_
#define TESTS_SOAK_RUN_LOG_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"

namespace jayrill::soak {

/// Why a run has ended, as a minion lists it; kCrashed ends with its minion.
enum class run_end { kRunning, kDone, kStopped, kLapsed, kCrashed };

/// \returns the name that a minion lists for \p end.
const char* ToString(run_end end);

/// One run of a task on a minion.
struct run_record {
  std::string task;  ///< Begins with the id of its job and a dot.
  std::int64_t attempt = 0;
  std::string minion;
  steady_time begin;
  steady_time end;  ///< Meaningless while `how` is kRunning.
  run_end how = run_end::kRunning;

  auto operator<=>(const run_record&) const = default;
};

/// One submission of a job and its answer.
struct submission_record {
  std::string entry;
  steady_time sent;
  steady_time ended;
  int status = 0;  ///< 0: no answer.

  auto operator<=>(const submission_record&) const = default;
};

/// Two runs of one task that were at work at the same time.
struct overlap {
  run_record first;
  run_record second;
  steady_duration length{};

  auto operator<=>(const overlap&) const = default;
};

/// What the minions and the callers of a soak have seen. Judges it by the rules
/// that hold for jobs that are not kept: no two runs of a task at the same
/// time, and no run of a job of which every submission was refused.
class run_log {
 public:
  using run_index = std::size_t;

  run_index Begin(run_record run);
  void End(run_index index, steady_time end, run_end how);
  void AddSubmission(const std::string& job, submission_record submission);

  /// \returns the overlaps in the order of their runs. Runs that have not ended
  /// count as at work until \p now.
  std::vector<overlap> Overlaps(steady_time now) const;

  /// \returns the jobs that have run although each answer was a refusal. Jobs
  /// with a submission that has not ended are left out.
  std::set<std::string> RefusedJobsThatRan() const;

  const std::vector<run_record>& runs() const { return runs_; }

  /// \returns the submissions of \p job in the order in which they ended.
  const std::vector<submission_record>& SubmissionsOf(
      const std::string& job) const;

  /// \returns the numbers of submissions by status.
  std::map<int, int> CountStatuses() const;

  /// Must be called before a submission of \p job is sent.
  void Expect(const std::string& job) { ++open_submissions_[job]; }

 private:
  std::vector<run_record> runs_;
  std::map<std::string, std::vector<submission_record>> submissions_;
  std::map<std::string, int> open_submissions_;
};

/// \returns the id of the job of \p task.
std::string JobOf(const std::string& task);

}  // namespace jayrill::soak

#endif  // TESTS_SOAK_RUN_LOG_H_
