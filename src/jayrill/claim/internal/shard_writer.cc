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

// Size of a claim in its shard beside its key.
constexpr std::size_t kClaimOverhead = 200;

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
    Wake(milliseconds(0));
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

void shard_writer::Wake(milliseconds delay) {
  timers_.After(delay, guard_.Wrap([this, id = ++wake_id_] {
    if (id == wake_id_ && !in_flight_) {
      Round();
    }
  }));
}

void shard_writer::Round() {
  Settle();
  if (queue_.empty()) {
    return;
  }
  if (known_) {
    Commit(false);
  } else {
    Read();
  }
}

// Drops what needs no write any more and turns acquires whose caller was
// refused, but whose write may take effect, into releases.
void shard_writer::Settle() {
  std::vector<operation_ref> moot;
  std::erase_if(queue_, [&](const operation_ref& item) {
    if (item->what == kind::kAcquire && item->answered) {
      if (!item->unsettled) {
        return true;
      }
      item->what = kind::kRelease;
      item->finished = [](const result<void>&) {};
    }
    const bool over = item->what != kind::kAcquire &&
                      IsClaimOver(item->key.time, clock_.WallNow());
    if (over) {
      moot.push_back(item);
    }
    return over;
  });
  for (const operation_ref& item : moot) {
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
  } else if (Learn(*got)) {
    Commit(true);
  }
}

bool shard_writer::Learn(const std::optional<store_entry>& found) {
  if (!found) {
    known_ = known_shard{};
    return true;
  }
  result<claim_shard> shard = DecodeShard(found->value);
  if (!shard) {
    OnFailure(shard.error());
    return false;
  }
  known_ = {found->revision, std::move(*shard), found->value.size()};
  return true;
}

void shard_writer::Commit(bool fresh) {
  known_shard next = *known_;
  const std::vector<operation_ref> batch = queue_;
  bool changed = false;
  bool outdated = false;
  for (const operation_ref& operation : batch) {
    const bool changes = Plan(*operation, next);
    changed = changed || changes;
    outdated = outdated || (!changes && !fresh &&
                            (operation->what != kind::kAcquire ||
                             !IsFinal(operation->planned.what)));
  }
  if (outdated) {
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
      key_, known_->revision, std::move(text), std::nullopt,
      guard_.Wrap([this, batch, next](const result<swap_result>& swap) {
        in_flight_ = false;
        OnSwap(batch, next, swap);
      }));
}

bool shard_writer::Plan(claim_operation& operation, known_shard& next) const {
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
  const bool kept =
      size <= kMaxKeptAnswer && next.size + size <= kMaxShardForAnswers;
  next.size += kept ? size : 0;
  return TryEnd(next.shard, operation.key, operation.value.token,
                kept ? outcome : ended_outcome{outcome.outcome, std::nullopt});
}

bool shard_writer::PlanAcquire(claim_operation& operation,
                               known_shard& next) const {
  if (auto refused = RefuseByAge(operation.key.time, clock_.WallNow())) {
    operation.planned = std::move(*refused);
    return false;
  }
  const auto held = next.shard.claims.find(operation.key.text);
  const bool present = held != next.shard.claims.end();
  if (!present && next.size > kMaxShardForClaims) {
    operation.planned =
        RefuseClaim("claims_full", "too many requests are claimed at this time",
                    "resubmit later with the same request key");
    return false;
  }
  const bool own = present && held->second.token == operation.value.token &&
                   held->second.state == claim_state::kRunning;
  operation.planned = TryAcquire(next.shard, operation.key, operation.value);
  next.size += present ? 0 : operation.key.text.size() + kClaimOverhead;
  // A claim with the own token is the result of an earlier write.
  return operation.planned.what == claim_decision::kind::kGranted && !own;
}

void shard_writer::OnSwap(const std::vector<operation_ref>& batch,
                          known_shard next,
                          const result<swap_result>& swap) {
  if (swap && swap->swapped) {
    next.revision = swap->revision;
    known_ = std::move(next);
    Resolve(batch);
  } else if (swap) {
    if (Learn(swap->found)) {
      Wake(milliseconds(random_.Below(5)));
    }
  } else if (swap.error().kind == error_kind::kUnknownOutcome) {
    for (const operation_ref& operation : batch) {
      operation->unsettled = true;
    }
    known_.reset();
    Wake(Backoff());
  } else {
    OnFailure(swap.error());
  }
}

// The store is down: acquires are refused at once, the ends of claims wait.
void shard_writer::OnFailure(const error& failure) {
  known_.reset();
  for (const operation_ref& operation : std::vector(queue_)) {
    if (operation->what == kind::kAcquire) {
      Answer(*operation, Unavailable(failure));
    }
  }
  Settle();
  if (!queue_.empty()) {
    Wake(Backoff());
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
    Wake(milliseconds(0));
  }
}

void shard_writer::ResolveAcquire(const operation_ref& operation) {
  using decision_kind = claim_decision::kind;
  // The write may have taken longer than the rest of the window.
  if (auto refused = RefuseByAge(operation->key.time, clock_.WallNow())) {
    Answer(*operation, *refused);
  }
  const bool late = operation->answered;
  Answer(*operation, operation->planned);
  const decision_kind what = operation->planned.what;
  // A claim that nobody was granted must not stay running. After a refusal, a
  // write without an answer can still take effect.
  if ((what == decision_kind::kGranted && late) ||
      (what == decision_kind::kRefused && operation->unsettled &&
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
