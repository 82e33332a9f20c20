#ifndef JAYRILL_CLAIM_INTERNAL_SHARD_WRITER_H_
#define JAYRILL_CLAIM_INTERNAL_SHARD_WRITER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/random_source.h"
#include "jayrill/claim/internal/claim_operation.h"
#include "jayrill/store/scheduler.h"
#include "jayrill/store/store.h"

namespace jayrill::claim_internal {

/// Writes the changes of one shard, one compare-and-swap at a time.
///
/// Operations that arrive while a write is in flight are written together by
/// the next one (group commit). The shard as last read or written is cached, so
/// that a write without contention costs one call to the store. A decision that
/// needs no write is taken from a new read rather than from the cache, unless
/// it is kEnded or kRefused.
///
/// Must be used on the thread of the store only.
class shard_writer {
 public:
  using operation_ref = std::shared_ptr<claim_operation>;

  shard_writer(std::string key,
               store& backing,
               scheduler& timers,
               const clock& time,
               random_source& random);

  /// Queues \p operation; its callback runs later.
  void Add(operation_ref operation);

  /// Calls back the acquire \p operation with \p decision, unless it was called
  /// back before. If its claim is stored after that, it is released.
  void Answer(claim_operation& operation, const claim_decision& decision);

  /// Drops all queued operations; their callbacks get an error.
  void Abandon();

  bool is_idle() const { return queue_.empty(); }

 private:
  /// The shard as last read or written.
  struct cached_shard {
    store_revision revision;
    claim_shard shard;
    std::size_t size = 0;  ///< Of its JSON form, in bytes.
  };

  /// Runs ProcessQueue after \p delay, instead of a run scheduled before.
  void ScheduleProcessing(std::chrono::milliseconds delay);
  void ProcessQueue();
  void PruneQueue();
  void Read();
  void OnRead(const result<std::optional<store_entry>>& got);
  /// Decodes \p found into the cache; an absent key is an empty shard.
  /// \returns false after a failure, which it has handled.
  bool CacheShard(const std::optional<store_entry>& found);
  /// Applies the queued operations to the cached shard and writes the result.
  /// \p just_read: the cache comes from a read that has just been answered.
  void Commit(bool just_read);
  /// Applies \p operation to \p next.
  /// \returns true when \p next has to be written.
  bool Plan(claim_operation& operation, cached_shard& next) const;
  bool PlanAcquire(claim_operation& operation, cached_shard& next) const;
  void OnSwap(const std::vector<operation_ref>& batch,
              cached_shard next,
              const result<swap_result>& swap);
  void OnFailure(const error& failure);
  /// Calls back the operations of \p batch, whose result is final.
  void Resolve(const std::vector<operation_ref>& batch);
  void ResolveAcquire(const operation_ref& operation);
  /// Doubles the backoff.
  /// \returns the new backoff with jitter.
  std::chrono::milliseconds Backoff();

  std::string key_;  ///< Of the shard in the store.
  store& store_;
  scheduler& timers_;
  const clock& clock_;
  random_source& random_;
  std::vector<operation_ref> queue_;
  std::optional<cached_shard> cached_;
  bool in_flight_ = false;             ///< A call to the store is in flight.
  std::uint64_t latest_timer_id_ = 0;  ///< Earlier timers are ignored.
  std::chrono::milliseconds backoff_{};
  callback_guard guard_;
};

/// \returns a refusal when a key of time \p time is expired or in the future at
/// \p now; nothing when it is valid.
std::optional<claim_decision> RefuseByAge(wall_time time, wall_time now);

}  // namespace jayrill::claim_internal

#endif  // JAYRILL_CLAIM_INTERNAL_SHARD_WRITER_H_
