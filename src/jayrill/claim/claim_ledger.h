#ifndef JAYRILL_CLAIM_CLAIM_LEDGER_H_
#define JAYRILL_CLAIM_CLAIM_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jayrill/base/random_source.h"
#include "jayrill/claim/claim_decision.h"
#include "jayrill/claim/claim_shard.h"
#include "jayrill/store/scheduler.h"
#include "jayrill/store/store.h"

namespace jayrill {

namespace claim_internal {
class shard_writer;
struct claim_operation;
}  // namespace claim_internal

/// Claims non-idempotent requests in the key-value store, so that each request
/// runs at most once, even when several entries receive it, an entry restarts
/// or the store fails.
///
/// Must be used on the thread of the store only. Each callback runs exactly
/// once, never inside the call that it is passed to; callbacks that are still
/// pending when the ledger is destroyed don't run.
class claim_ledger {
 public:
  using decision_function = std::function<void(const claim_decision&)>;
  using finished_function = std::function<void(const result<void>&)>;

  /// An acquire that has no decision after this time is refused with
  /// store_unavailable. If its claim is stored after that, it is released.
  static constexpr std::chrono::milliseconds kAcquireLimit{3000};

  /// \p self is the incarnation of this process, which its claims name.
  /// \p backing, \p timers and \p time must outlive this object.
  claim_ledger(store& backing,
               scheduler& timers,
               const clock& time,
               random_source random,
               incarnation self);
  ~claim_ledger();

  /// Claims the request key \p key_text for a job whose content has the hash
  /// \p fingerprint. The claim is stored before \p decided gets kGranted; with
  /// any other decision the job must not run.
  void Acquire(std::string_view key_text,
               std::uint64_t fingerprint,
               decision_function decided);

  /// Stores that the job of a granted claim has ended. Retries until that is
  /// stored, or until the lifetime of the claim is over, when every entry
  /// refuses the key anyway.
  void End(std::string_view key_text,
           ended_outcome outcome,
           finished_function finished);

  /// Stores that the job of a granted claim did not run and will not run, so
  /// that a resubmission may run. Retries until that is stored, or until the
  /// lifetime of the claim is over.
  void Release(std::string_view key_text, finished_function finished);

  /// Refuses new claims and calls \p stopped once all changes are stored, at
  /// the latest after \p limit. Changes that are not stored by then are
  /// dropped. Their claims stay in the state `running`, so that their requests
  /// cannot run again.
  void Stop(std::chrono::milliseconds limit,
            const std::function<void()>& stopped);

  /// \returns true when no change of a claim waits to be stored.
  bool is_idle() const;

 private:
  /// A claim that this process was granted and has not yet ended or released.
  struct held_claim {
    request_key key;
    claim value;
  };

  claim_internal::shard_writer& WriterOf(const request_key& key);
  void Finish(std::string_view key_text,
              bool released,
              ended_outcome outcome,
              finished_function finished);
  void PollStop(steady_time limit, const std::function<void()>& stopped);

  const clock& clock_;
  scheduler& timers_;
  random_source random_;
  incarnation self_;
  bool stopping_ = false;
  std::map<std::string, held_claim, std::less<>> held_;  ///< By key text.
  /// One for each shard.
  std::vector<std::unique_ptr<claim_internal::shard_writer>> writers_;
  callback_guard guard_;
};

}  // namespace jayrill

#endif  // JAYRILL_CLAIM_CLAIM_LEDGER_H_
