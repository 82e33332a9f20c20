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
/// Operations that arrive while a write is in flight share the next one (group
/// commit). The shard as last seen is kept, so that an uncontended write costs
/// one call. A decision that needs no write comes from a new read, unless it
/// cannot change any more.
class shard_writer {
 public:
  using operation_ref = std::shared_ptr<claim_operation>;

  shard_writer(std::string key,
               store& backing,
               scheduler& timers,
               const clock& time,
               random_source& random);

  void Add(operation_ref operation);

  /// Answers the operation of an acquire with \p decision, unless it has its
  /// answer. A claim that is granted later is released.
  void Answer(claim_operation& operation, const claim_decision& decision);

  /// Gives up what is left; the callbacks get an error.
  void Abandon();

  bool is_idle() const { return queue_.empty(); }

 private:
  struct known_shard {
    store_revision revision;
    claim_shard shard;
    std::size_t size = 0;
  };

  void Wake(std::chrono::milliseconds delay);
  void Round();
  void Settle();
  void Read();
  void OnRead(const result<std::optional<store_entry>>& got);
  bool Learn(const std::optional<store_entry>& found);
  void Commit(bool fresh);
  bool Plan(claim_operation& operation, known_shard& next) const;
  bool PlanAcquire(claim_operation& operation, known_shard& next) const;
  void OnSwap(const std::vector<operation_ref>& batch,
              known_shard next,
              const result<swap_result>& swap);
  void OnFailure(const error& failure);
  void Resolve(const std::vector<operation_ref>& batch);
  void ResolveAcquire(const operation_ref& operation);
  std::chrono::milliseconds Backoff();

  std::string key_;
  store& store_;
  scheduler& timers_;
  const clock& clock_;
  random_source& random_;
  std::vector<operation_ref> queue_;
  std::optional<known_shard> known_;
  bool in_flight_ = false;     ///< A call of the store is outstanding.
  std::uint64_t wake_id_ = 0;  ///< Only the newest wake-up counts.
  std::chrono::milliseconds backoff_{};
  callback_guard guard_;
};

/// \returns the decision for a key of that age; nothing when it is valid.
std::optional<claim_decision> RefuseByAge(wall_time time, wall_time now);

}  // namespace jayrill::claim_internal

#endif  // JAYRILL_CLAIM_INTERNAL_SHARD_WRITER_H_
