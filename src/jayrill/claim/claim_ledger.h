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

/// Claims non-idempotent requests in the store, so that each runs at most once
/// across entries, restarts and outages of the store.
///
/// Belongs to the thread of the store. Callbacks run later, exactly once,
/// unless the ledger is destroyed first.
class claim_ledger {
 public:
  using decision_function = std::function<void(const claim_decision&)>;
  using finished_function = std::function<void(const result<void>&)>;

  /// An acquire that is not decided by then is refused. A claim that is stored
  /// later is released again.
  static constexpr std::chrono::milliseconds kAcquireLimit{3000};

  /// \p self is the incarnation of this process. \p backing, \p timers and
  /// \p time must outlive this object.
  claim_ledger(store& backing,
               scheduler& timers,
               const clock& time,
               random_source random,
               incarnation self);
  ~claim_ledger();

  /// Claims \p key_text for a job whose content has the hash \p fingerprint.
  /// The job may be run only when the decision is kGranted; the claim is
  /// durable then.
  void Acquire(std::string_view key_text,
               std::uint64_t fingerprint,
               decision_function decided);

  /// Notes that the job of a granted claim has ended. Retried until it is
  /// stored, or until the age of the key makes it moot.
  void End(std::string_view key_text,
           ended_outcome outcome,
           finished_function finished);

  /// Notes that the job of a granted claim did not run and will not, so that a
  /// resubmission may run. Retried like End.
  void Release(std::string_view key_text, finished_function finished);

  /// Refuses new claims and calls \p stopped when everything is stored, at the
  /// latest after \p limit. What is left then is given up: its claims stay
  /// running, which is safe.
  void Stop(std::chrono::milliseconds limit,
            const std::function<void()>& stopped);

  bool is_idle() const;

 private:
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
  std::map<std::string, held_claim, std::less<>> held_;
  std::vector<std::unique_ptr<claim_internal::shard_writer>> writers_;
  callback_guard guard_;
};

}  // namespace jayrill

#endif  // JAYRILL_CLAIM_CLAIM_LEDGER_H_
