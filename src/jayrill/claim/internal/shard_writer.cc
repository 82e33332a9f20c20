#include "jayrill/claim/internal/shard_writer.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace jayrill::claim_internal {

namespace {

using std::chrono::milliseconds;
using kind = claim_operation::kind;

constexpr milliseconds kMinBackoff(20);
constexpr milliseconds kMaxBackoff(2000);

// Estimated size of the JSON form of a claim without its key.
constexpr std::size_t kClaimOverheadBytes = 200;

// \returns true for a decision that may be taken from the cached shard, without
// a new read.
bool IsFinal(claim_decision::kind what) {
  return what == claim_decision::kind::kEnded ||
         what == claim_decision::kind::kRefused;
}

claim_decision Unavailable(const error& failure) {
  return RefuseClaim("store_unavailable",
                     "the claim could not be stored: " + failure.message,
                     "resubmit with the same request key");
}

}  // namespace

std::optional<claim_decision> RefuseByAge(wall_time time, wall_time now) {
  switch (AgeOf(time, now)) {
    case key_age::kValid:
      return std::nullopt;
    case key_age::kExpired:
      return RefuseClaim("key_expired",
                         "the request key is older than 10 minutes",
                         "find out whether the earlier submission ran before "
                         "a new key is used");
    case key_age::kInFuture:
      return RefuseClaim("key_in_future",
                         "the request key is more than 1 minute in the future",
                         "correct the clock that the key is made from");
  }
  return std::nullopt;
}

shard_writer::shard_writer(std::string key,
                           store& backing,
                           scheduler& timers,
                           const clock& time,
                           random_source& random)
    : key_(std::move(key)),
      store_(backing),
      timers_(timers),
      clock_(time),
      random_(random) {}

void shard_writer::Add(operation_ref operation) {
  queue_.push_back(std::move(operation));
  if (!in_flight_) {
    ScheduleProcessing(milliseconds(0));
  }
}

void shard_writer::Answer(claim_operation& operation,
                          const claim_decision& decision) {
  if (!std::exchange(operation.answered, true)) {
    operation.decided(decision);
  }
}

void shard_writer::Abandon() {
  for (const operation_ref& operation : std::exchange(queue_, {})) {
    const error failure{error_kind::kUnavailable, "the ledger was stopped",
                        "none; the claim stays as it is"};
    if (operation->what == kind::kAcquire) {
      Answer(*operation, Unavailable(failure));
    } else {
      operation->finished(tl::unexpected(failure));
    }
  }
}

void shard_writer::ScheduleProcessing(milliseconds delay) {
  timers_.After(delay, guard_.Wrap([this, id = ++latest_timer_id_] {
    if (id == latest_timer_id_ && !in_flight_) {
      ProcessQueue();
    }
  }));
}

void shard_writer::ProcessQueue() {
  PruneQueue();
  if (queue_.empty()) {
    return;
  }
  if (cached_) {
    Commit(false);
  } else {
    Read();
  }
}

// Removes the operations that need no write any more. An acquire that was
// refused while its write may still take effect becomes a release.
void shard_writer::PruneQueue() {
  std::vector<operation_ref> expired;
  std::erase_if(queue_, [&](const operation_ref& item) {
    if (item->what == kind::kAcquire && item->answered) {
      if (!item->outcome_unknown) {
        return true;
      }
      item->what = kind::kRelease;
      item->finished = [](const result<void>&) {};
    }
    const bool past_lifetime =
        item->what != kind::kAcquire &&
        IsPastClaimLifetime(item->key.time, clock_.WallNow());
    if (past_lifetime) {
      expired.push_back(item);
    }
    return past_lifetime;
  });
  for (const operation_ref& item : expired) {
    LOG(WARNING) << "claim: key " << item->key.text
                 << " expired before its state was stored";
    item->finished(MakeError(error_kind::kDeadlineExceeded,
                             "the key expired before its state was stored",
                             "none; the key is refused from now on"));
  }
}

void shard_writer::Read() {
  in_flight_ = true;
  store_.Get(key_,
             guard_.Wrap([this](const result<std::optional<store_entry>>& got) {
               in_flight_ = false;
               OnRead(got);
             }));
}

void shard_writer::OnRead(const result<std::optional<store_entry>>& got) {
  if (!got) {
    OnFailure(got.error());
  } else if (CacheShard(*got)) {
    Commit(true);
  }
}

bool shard_writer::CacheShard(const std::optional<store_entry>& found) {
  if (!found) {
    cached_ = cached_shard{};
    return true;
  }
  result<claim_shard> shard = DecodeShard(found->value);
  if (!shard) {
    OnFailure(shard.error());
    return false;
  }
  cached_ = {found->revision, std::move(*shard), found->value.size()};
  return true;
}

void shard_writer::Commit(bool just_read) {
  cached_shard next = *cached_;
  const std::vector<operation_ref> batch = queue_;
  bool changed = false;
  bool needs_read = false;
  for (const operation_ref& operation : batch) {
    const bool changes = Plan(*operation, next);
    changed = changed || changes;
    needs_read = needs_read || (!changes && !just_read &&
                                (operation->what != kind::kAcquire ||
                                 !IsFinal(operation->planned.what)));
  }
  if (needs_read) {
    Read();
    return;
  }
  if (!changed) {
    Resolve(batch);
    return;
  }
  RemoveExpired(next.shard, clock_.WallNow());
  std::string text = EncodeShard(next.shard);
  next.size = text.size();
  in_flight_ = true;
  store_.CompareAndSwap(
      key_, cached_->revision, std::move(text), std::nullopt,
      guard_.Wrap([this, batch, next](const result<swap_result>& swap) {
        in_flight_ = false;
        OnSwap(batch, next, swap);
      }));
}

bool shard_writer::Plan(claim_operation& operation, cached_shard& next) const {
  switch (operation.what) {
    case kind::kAcquire:
      return PlanAcquire(operation, next);
    case kind::kRelease:
      return TryRelease(next.shard, operation.key, operation.value);
    case kind::kEnd:
      break;
  }
  const ended_outcome& outcome = operation.value.outcome;
  const std::size_t size = outcome.answer ? outcome.answer->size() : 0;
  const bool kept = size <= kMaxKeptAnswerBytes &&
                    next.size + size <= kMaxShardBytesForAnswers;
  next.size += kept ? size : 0;
  return TryEnd(next.shard, operation.key, operation.value.token,
                kept ? outcome : ended_outcome{outcome.outcome, std::nullopt});
}

bool shard_writer::PlanAcquire(claim_operation& operation,
                               cached_shard& next) const {
  if (auto refused = RefuseByAge(operation.key.time, clock_.WallNow())) {
    operation.planned = std::move(*refused);
    return false;
  }
  const auto held = next.shard.claims.find(operation.key.text);
  const bool present = held != next.shard.claims.end();
  if (!present && next.size > kMaxShardBytesForClaims) {
    operation.planned =
        RefuseClaim("claims_full", "too many requests are claimed at this time",
                    "resubmit later with the same request key");
    return false;
  }
  const bool own = present && held->second.token == operation.value.token &&
                   held->second.state == claim_state::kRunning;
  operation.planned = TryAcquire(next.shard, operation.key, operation.value);
  next.size += present ? 0 : operation.key.text.size() + kClaimOverheadBytes;
  // A running claim with the token of this operation was stored by an earlier
  // write of it.
  return operation.planned.what == claim_decision::kind::kGranted && !own;
}

void shard_writer::OnSwap(const std::vector<operation_ref>& batch,
                          cached_shard next,
                          const result<swap_result>& swap) {
  if (swap && swap->swapped) {
    next.revision = swap->revision;
    cached_ = std::move(next);
    Resolve(batch);
  } else if (swap) {
    if (CacheShard(swap->found)) {
      ScheduleProcessing(milliseconds(random_.Below(5)));
    }
  } else if (swap.error().kind == error_kind::kUnknownOutcome) {
    for (const operation_ref& operation : batch) {
      operation->outcome_unknown = true;
    }
    cached_.reset();
    ScheduleProcessing(Backoff());
  } else {
    OnFailure(swap.error());
  }
}

// While the store fails, acquires are refused at once; releases and ends are
// retried with backoff.
void shard_writer::OnFailure(const error& failure) {
  cached_.reset();
  for (const operation_ref& operation : std::vector(queue_)) {
    if (operation->what == kind::kAcquire) {
      Answer(*operation, Unavailable(failure));
    }
  }
  PruneQueue();
  if (!queue_.empty()) {
    ScheduleProcessing(Backoff());
  }
}

void shard_writer::Resolve(const std::vector<operation_ref>& batch) {
  backoff_ = milliseconds(0);
  std::erase_if(queue_, [&](const operation_ref& item) {
    return std::find(batch.begin(), batch.end(), item) != batch.end();
  });
  for (const operation_ref& operation : batch) {
    if (operation->what == kind::kAcquire) {
      ResolveAcquire(operation);
    } else {
      operation->finished({});
    }
  }
  if (!queue_.empty() && !in_flight_) {
    ScheduleProcessing(milliseconds(0));
  }
}

void shard_writer::ResolveAcquire(const operation_ref& operation) {
  using decision_kind = claim_decision::kind;
  // The key may have expired during the write.
  if (auto refused = RefuseByAge(operation->key.time, clock_.WallNow())) {
    Answer(*operation, *refused);
  }
  const bool late = operation->answered;
  Answer(*operation, operation->planned);
  const decision_kind what = operation->planned.what;
  // A stored claim that was not granted to any submission must not stay
  // running. After a refusal, an earlier write without an answer may still
  // store it. Not so with key_reused: the key holds a claim of other content,
  // so the shard has changed since that write and its compare-and-swap fails.
  if ((what == decision_kind::kGranted && late) ||
      (what == decision_kind::kRefused && operation->outcome_unknown &&
       operation->planned.code != "key_reused")) {
    operation->what = kind::kRelease;
    operation->finished = [](const result<void>&) {};
    queue_.push_back(operation);
  }
}

milliseconds shard_writer::Backoff() {
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  return backoff_ + milliseconds(random_.Below(
                        static_cast<std::uint64_t>(backoff_.count())));
}

}  // namespace jayrill::claim_internal
