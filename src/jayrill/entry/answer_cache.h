#ifndef JAYRILL_ENTRY_ANSWER_CACHE_H_
#define JAYRILL_ENTRY_ANSWER_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"
#include "jayrill/job/job_outcome.h"

namespace jayrill {

/// The outcome of a non-idempotent job, cached to answer resubmissions.
struct cached_answer {
  job_id job;
  std::uint64_t content_hash = 0;
  job_outcome outcome;
  wall_time expires;  ///< After it the request key is refused as too old.
};

/// Caches outcomes of non-idempotent jobs by request key, bounded by number,
/// bytes and age. The oldest is evicted first; the claim in the store still
/// tells that the job has run. Not thread-safe.
class answer_cache {
 public:
  answer_cache(std::size_t max_count, std::size_t max_bytes)
      : max_count_(max_count), max_bytes_(max_bytes) {}

  /// Adds \p answer unless \p key has one, and evicts the oldest answers while
  /// a bound is exceeded.
  void Put(const std::string& key, cached_answer answer, wall_time now);

  /// \returns the answer to \p key, or null.
  const cached_answer* Find(const std::string& key, wall_time now);

  std::size_t size() const { return answers_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  void DropExpired(wall_time now);
  void DropOldest();

  std::size_t max_count_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::unordered_map<std::string, cached_answer> answers_;
  std::deque<std::string> order_;  ///< Oldest first.
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_ANSWER_CACHE_H_
