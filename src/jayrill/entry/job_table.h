#ifndef JAYRILL_ENTRY_JOB_TABLE_H_
#define JAYRILL_ENTRY_JOB_TABLE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jayrill/entry/job_record.h"

namespace jayrill {

/// The admitted jobs of an entry and their deadlines.
///
/// Used on the dispatcher thread only. A record keeps its address until it is
/// removed.
class job_table {
 public:
  /// Adds a job.
  /// \returns the record, or null when the id is in use.
  job_record* Add(job_id id, job_spec spec, steady_time now);

  /// \returns the job, or null.
  job_record* Find(job_id id);

  /// Sets the deadline of \p job to \p deadline if that is earlier.
  void ShortenDeadline(job_record& job, steady_time deadline);

  /// Lets TakeJobsToSettle return \p job once, at \p settle_start.
  void SetSettleStart(const job_record& job, steady_time settle_start);

  /// \returns the undecided jobs whose settle start has come, once each.
  std::vector<job_id> TakeJobsToSettle(steady_time now);

  /// Marks \p job as decided, so that it does not expire, and frees its
  /// payloads.
  void MarkDecided(job_record& job);

  /// Removes \p job if it is decided and nothing of it is outstanding.
  void RemoveIfEnded(const job_record& job);

  /// \returns the undecided jobs whose deadline has come.
  std::vector<job_id> ExpiredJobs(steady_time now) const;

  /// \returns the next deadline or settle start of an undecided job.
  std::optional<steady_time> NextDeadline() const;

  /// \returns the undecided jobs whose callers may submit them again.
  /// \sa job_spec::repeatable
  std::vector<job_id> RepeatableJobs() const;

  std::size_t undecided() const { return deadlines_.size(); }
  std::size_t payload_bytes() const { return payload_bytes_; }

  /// \returns the waiting and outstanding tasks of undecided jobs by team.
  std::map<std::string, std::uint32_t> TeamDemand() const;

 private:
  std::unordered_map<job_id, std::unique_ptr<job_record>> jobs_;
  std::set<std::pair<steady_time, job_id>> deadlines_;
  /// Jobs that were decided meanwhile are dropped when their time comes.
  std::set<std::pair<steady_time, job_id>> settle_starts_;
  std::size_t payload_bytes_ = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_JOB_TABLE_H_
