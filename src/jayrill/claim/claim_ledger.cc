#include "jayrill/claim/claim_ledger.h"

#include <algorithm>
#include <utility>

#include "jayrill/claim/internal/shard_writer.h"

namespace jayrill {

namespace {

using claim_internal::claim_operation;
using kind = claim_operation::kind;

constexpr std::chrono::milliseconds kStopPollInterval(20);

}  // namespace

claim_ledger::claim_ledger(store& backing,
                           scheduler& timers,
                           const clock& time,
                           random_source random,
                           incarnation self)
    : clock_(time), timers_(timers), random_(random), self_(self) {
  for (std::size_t shard = 0; shard < kClaimShards; ++shard) {
    writers_.push_back(std::make_unique<claim_internal::shard_writer>(
        ShardKey(shard), backing, timers, time, random_));
  }
}

claim_ledger::~claim_ledger() = default;

claim_internal::shard_writer& claim_ledger::WriterOf(const request_key& key) {
  return *writers_[ShardOf(key)];
}

void claim_ledger::Acquire(std::string_view key_text,
                           std::uint64_t fingerprint,
                           decision_function decided) {
  const auto refuse = [&](const claim_decision& decision) {
    timers_.After(std::chrono::milliseconds(0),
                  guard_.Wrap([decided, decision] { decided(decision); }));
  };
  const result<request_key> key = ParseRequestKey(key_text);
  if (!key) {
    refuse(
        RefuseClaim("key_malformed", key.error().message, key.error().remedy));
    return;
  }
  if (auto refused = claim_internal::RefuseByAge(key->time, clock_.WallNow())) {
    refuse(*refused);
    return;
  }
  if (stopping_) {
    refuse(RefuseClaim("stopping", "this entry is stopping",
                       "resubmit with the same request key"));
    return;
  }
  auto operation = std::make_shared<claim_operation>();
  operation->key = *key;
  operation->value = {
      claim_state::kRunning, self_,     std::max<std::uint64_t>(random_(), 1),
      fingerprint,           key->time, {}};
  operation->decided = [this, held = held_claim{*key, operation->value},
                        decided](const claim_decision& decision) {
    if (decision.what == claim_decision::kind::kGranted) {
      held_[held.key.text] = held;
    }
    decided(decision);
  };
  WriterOf(*key).Add(operation);
  timers_.After(kAcquireLimit, guard_.Wrap([this, operation] {
    WriterOf(operation->key)
        .Answer(*operation, RefuseClaim("store_unavailable",
                                        "the claim was not stored in time",
                                        "resubmit with the same request key"));
  }));
}

void claim_ledger::End(std::string_view key_text,
                       ended_outcome outcome,
                       finished_function finished) {
  Finish(key_text, false, std::move(outcome), std::move(finished));
}

void claim_ledger::Release(std::string_view key_text,
                           finished_function finished) {
  Finish(key_text, true, {}, std::move(finished));
}

void claim_ledger::Finish(std::string_view key_text,
                          bool released,
                          ended_outcome outcome,
                          finished_function finished) {
  const auto found = held_.find(key_text);
  if (found == held_.end()) {
    timers_.After(std::chrono::milliseconds(0), guard_.Wrap([finished] {
      finished(MakeError(error_kind::kNotFound,
                         "this process does not hold the claim",
                         "end or release a claim once, after it is granted"));
    }));
    return;
  }
  auto operation = std::make_shared<claim_operation>();
  operation->what = released ? kind::kRelease : kind::kEnd;
  operation->key = found->second.key;
  operation->value = found->second.value;
  operation->value.outcome = std::move(outcome);
  operation->finished = std::move(finished);
  held_.erase(found);
  WriterOf(operation->key).Add(operation);
}

bool claim_ledger::is_idle() const {
  return std::all_of(writers_.begin(), writers_.end(),
                     [](const auto& writer) { return writer->is_idle(); });
}

void claim_ledger::Stop(std::chrono::milliseconds limit,
                        const std::function<void()>& stopped) {
  stopping_ = true;
  PollStop(clock_.Now() + limit, stopped);
}

void claim_ledger::PollStop(steady_time limit,
                            const std::function<void()>& stopped) {
  timers_.After(kStopPollInterval, guard_.Wrap([this, limit, stopped] {
    const bool late = clock_.Now() >= limit;
    if (!is_idle() && !late) {
      PollStop(limit, stopped);
      return;
    }
    for (const auto& writer : writers_) {
      writer->Abandon();
    }
    stopped();
  }));
}

}  // namespace jayrill
