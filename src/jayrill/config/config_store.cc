#include "jayrill/config/config_store.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "jayrill/config/config_codec.h"

namespace jayrill {

namespace {

// Time for all tries of a change, since its operator waits for the answer.
constexpr std::chrono::seconds kSubmitLimit(10);
// The delay is random, so that entries whose writes collided don't collide
// again.
constexpr std::uint64_t kRetryMinMs = 20;
constexpr std::uint64_t kRetrySpreadMs = 80;

result<cluster_config> Decode(const std::optional<store_entry>& found) {
  return found ? DecodeConfig(found->value) : cluster_config{};
}

}  // namespace

struct config_store::submission {
  config_change change;
  store::callback<config_revision> done;
  steady_time deadline;
  /// Set after a write whose answer was lost: the store revision of the key
  /// that the write expected. The write can still take effect as long as the
  /// key is at that revision.
  std::optional<store_revision> unknown_write_revision;
  config_revision last_base;  ///< Revision that the last write was based on.
  /// Revision in force at this process when the last read began.
  config_revision revision_before_read;
};

config_store::config_store(store& backing,
                           scheduler& timers,
                           const clock& time,
                           random_source random,
                           listener receiver)
    : store_(backing),
      timers_(timers),
      clock_(time),
      random_(random),
      listener_(std::move(receiver)) {
  watch_ = store_.Watch(
      kConfigKey, {[this](const store_event& event) { OnEvent(event); },
                   [this] { OnConfirmed(); },
                   [](const error& failure) {
                     LOG(WARNING)
                         << "config: watch interrupted: " << ToString(failure);
                   }});
}

config_store::~config_store() = default;

void config_store::Submit(config_change change,
                          store::callback<config_revision> done) {
  // A token of 0 would match audit records that have none.
  change.token = std::max<std::uint64_t>(random_(), 1);
  auto pending = std::make_shared<submission>();
  pending->change = std::move(change);
  pending->done = std::move(done);
  pending->deadline = clock_.Now() + kSubmitLimit;
  Read(pending);
}

void config_store::Read(const submission_ref& pending) {
  pending->revision_before_read = holder_.revision();
  store_.Get(
      kConfigKey,
      guard_.Wrap([this, pending](result<std::optional<store_entry>> got) {
        if (got) {
          Apply(pending, *got);
        } else {
          FailOrRetry(pending, got.error());
        }
      }));
}

void config_store::Apply(const submission_ref& pending,
                         const std::optional<store_entry>& found) {
  const result<cluster_config> config = Decode(found);
  if (!config) {
    Fail(*pending, config.error());
    return;
  }
  Offer(std::make_shared<const cluster_config>(*config));
  const store_revision key_revision =
      found ? found->revision : store_revision{};
  if (ResolveUnknownWrite(*pending, key_revision, *config)) {
    return;
  }
  if (config->revision < holder_.revision() &&
      config->revision >= pending->revision_before_read) {
    Retry(pending);  // This process received a newer one during the read.
    return;
  }
  if (config->revision < holder_.revision()) {
    Fail(*pending, {error_kind::kUnavailable,
                    "the store holds configuration revision " +
                        std::to_string(config->revision.value) +
                        ", which is older than the accepted revision " +
                        std::to_string(holder_.revision().value),
                    "restore the value of the store from GET /v1/config"});
    return;
  }
  if (!pending->change.base_revision) {
    pending->change.base_revision = config->revision;
  }
  result<cluster_config> next =
      ApplyChange(*config, pending->change, clock_.WallNow());
  if (!next) {
    Fail(*pending, next.error());
    return;
  }
  pending->last_base = config->revision;
  std::vector<audit_record> archive = TakeArchive(*next);
  if (archive.empty()) {
    Write(pending, key_revision, std::move(*next));
  } else {
    Archive(pending, key_revision, std::move(*next), std::move(archive));
  }
}

// Looks in `config`, which was read at the store revision `found`, for the
// result of an earlier write whose answer was lost. The change was stored if
// its token is in the audit trail. If it is not and the key has changed since,
// the write has failed, unless the trail no longer reaches back to it.
//
// \returns true when the submission is finished.
bool config_store::ResolveUnknownWrite(submission& pending,
                                       store_revision found,
                                       const cluster_config& config) {
  const auto own_record =
      std::find_if(config.audit.begin(), config.audit.end(),
                   [&](const audit_record& record) {
                     return record.token == pending.change.token;
                   });
  if (own_record != config.audit.end()) {
    pending.done(own_record->revision);
    return true;
  }
  if (pending.unknown_write_revision &&
      *pending.unknown_write_revision != found) {
    // The outcome stays unknown when the record of the write may have been
    // archived, or when the stored configuration was replaced by an older one.
    const bool archived =
        !config.audit.empty() &&
        pending.last_base.value + 1 < config.audit.front().revision.value;
    if (archived || config.revision <= pending.last_base) {
      Fail(pending, {error_kind::kUnknownOutcome,
                     "the audit trail does not reach back to the change",
                     "look for the change in the audit archive"});
      return true;
    }
    pending.unknown_write_revision.reset();
  }
  return false;
}

void config_store::Archive(const submission_ref& pending,
                           store_revision expected,
                           cluster_config next,
                           std::vector<audit_record> archive) {
  const std::string key =
      kAuditPrefix + std::to_string(archive.front().revision.value);
  // If the key is present, another entry has archived the same records, so a
  // failed comparison counts as success.
  store_.CompareAndSwap(
      key, store_revision{}, EncodeAudit(archive), std::nullopt,
      guard_.Wrap([this, pending, expected,
                   next = std::move(next)](result<swap_result> swap) {
        if (swap) {
          Write(pending, expected, next);
        } else if (swap.error().kind == error_kind::kUnknownOutcome) {
          Retry(pending);
        } else {
          FailOrRetry(pending, swap.error());
        }
      }));
}

void config_store::Write(const submission_ref& pending,
                         store_revision expected,
                         cluster_config next) {
  auto config = std::make_shared<const cluster_config>(std::move(next));
  store_.CompareAndSwap(
      kConfigKey, expected, EncodeConfig(*config, audit_trail::kIncluded),
      std::nullopt,
      guard_.Wrap([this, pending, expected, config](result<swap_result> swap) {
        if (swap && swap->swapped) {
          Offer(config);
          pending->done(config->revision);
        } else if (swap) {
          Retry(pending);
        } else if (swap.error().kind == error_kind::kUnknownOutcome) {
          pending->unknown_write_revision = expected;
          Retry(pending);
        } else {
          FailOrRetry(pending, swap.error());
        }
      }));
}

void config_store::Retry(const submission_ref& pending) {
  if (clock_.Now() >= pending->deadline) {
    Fail(*pending, {error_kind::kUnavailable,
                    "the store did not accept the change in time",
                    "repeat the change later"});
    return;
  }
  const std::chrono::milliseconds delay(kRetryMinMs +
                                        random_.Below(kRetrySpreadMs));
  timers_.After(delay, guard_.Wrap([this, pending] { Read(pending); }));
}

// After a write without an answer, the submission must not fail before a read
// shows whether the change was stored.
void config_store::FailOrRetry(const submission_ref& pending,
                               const error& failure) {
  if (pending->unknown_write_revision) {
    Retry(pending);
  } else {
    Fail(*pending, failure);
  }
}

void config_store::Fail(submission& pending, error failure) {
  if (pending.unknown_write_revision) {
    failure = {error_kind::kUnknownOutcome,
               "the change may have been accepted: " + failure.message,
               "look for it in the audit trail before it is repeated"};
  }
  pending.done(tl::unexpected(std::move(failure)));
}

void config_store::Offer(shared config) {
  if (holder_.Offer(std::move(config))) {
    LOG(INFO) << "config: revision " << holder_.revision().value
              << " is in force here";
    listener_.on_config(holder_.current());
  }
}

void config_store::ReadAudit(
    const store::callback<std::vector<audit_record>>& done) {
  store_.List(
      kAuditPrefix,
      guard_.Wrap([this, done](result<std::vector<store_entry>> archives) {
        if (!archives) {
          done(tl::unexpected(archives.error()));
          return;
        }
        std::vector<audit_record> all = current()->audit;
        for (const store_entry& archive : *archives) {
          const auto records = DecodeAudit(archive.value);
          if (!records) {
            done(tl::unexpected(records.error()));
            return;
          }
          all.insert(all.end(), records->begin(), records->end());
        }
        // Records are archived before they are removed from the configuration,
        // so some may be in both.
        const auto by_revision = [](const auto& a, const auto& b) {
          return a.revision < b.revision;
        };
        std::sort(all.begin(), all.end(), by_revision);
        all.erase(std::unique(all.begin(), all.end()), all.end());
        done(std::move(all));
      }));
}

void config_store::OnEvent(const store_event& event) {
  if (event.key != kConfigKey) {
    return;
  }
  if (!event.value) {
    LOG(ERROR)
        << "config: the configuration was deleted from the store; revision "
        << holder_.revision().value << " stays in force";
    stored_is_readable_ = false;
    return;
  }
  result<cluster_config> config = DecodeConfig(*event.value);
  stored_is_readable_ = config.has_value();
  if (!config) {
    LOG(ERROR) << "config: " << ToString(config.error()) << "; revision "
               << holder_.revision().value << " stays in force";
    return;
  }
  stored_revision_ = config->revision;
  Offer(std::make_shared<const cluster_config>(std::move(*config)));
}

void config_store::OnConfirmed() {
  if (stored_is_readable_ && stored_revision_ == holder_.revision()) {
    listener_.on_confirmed();
  }
}

}  // namespace jayrill
