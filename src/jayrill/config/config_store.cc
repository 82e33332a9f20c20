#include "jayrill/config/config_store.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "jayrill/config/config_codec.h"

namespace jayrill {

namespace {

// Operators wait for the answer. A change that was written without an answer
// is read back until then.
constexpr std::chrono::seconds kSubmitLimit(10);
// Spread, so that entries that raced do not race again.
constexpr std::uint64_t kRetryMinMs = 20;
constexpr std::uint64_t kRetrySpreadMs = 80;

result<cluster_config> Decode(const std::optional<store_entry>& found) {
  return found ? DecodeConfig(found->value) : cluster_config{};
}

}  // namespace

struct config_store::submission {
  config_change change;
  store::callback<config_revision> done;
  steady_time limit;
  /// Store revision at which a write without an answer was tried. It can take
  /// effect as long as the key is at that revision.
  std::optional<store_revision> unsettled;
  config_revision tried;  ///< Newest configuration that a write was based on.
  config_revision known;  ///< Revision in force here when the read began.
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
  auto item = std::make_shared<submission>();
  item->change = std::move(change);
  item->done = std::move(done);
  item->limit = clock_.Now() + kSubmitLimit;
  Read(item);
}

void config_store::Read(const submission_ref& item) {
  item->known = holder_.revision();
  store_.Get(kConfigKey,
             guard_.Wrap([this, item](result<std::optional<store_entry>> got) {
               if (got) {
                 Apply(item, *got);
               } else {
                 FailOrRetry(item, got.error());
               }
             }));
}

void config_store::Apply(const submission_ref& item,
                         const std::optional<store_entry>& found) {
  const result<cluster_config> config = Decode(found);
  if (!config) {
    Fail(*item, config.error());
    return;
  }
  Offer(std::make_shared<const cluster_config>(*config));
  const store_revision at = found ? found->revision : store_revision{};
  if (Settle(*item, at, *config)) {
    return;
  }
  if (config->revision < holder_.revision() &&
      config->revision >= item->known) {
    Retry(item);  // A newer one was accepted during the read.
    return;
  }
  if (config->revision < holder_.revision()) {
    Fail(*item, {error_kind::kUnavailable,
                 "the store holds configuration " +
                     std::to_string(config->revision.value) +
                     ", which is older than the accepted " +
                     std::to_string(holder_.revision().value),
                 "restore the value of the store from GET /v1/config"});
    return;
  }
  if (!item->change.base_revision) {
    item->change.base_revision = config->revision;
  }
  result<cluster_config> next =
      ApplyChange(*config, item->change, clock_.WallNow());
  if (!next) {
    Fail(*item, next.error());
    return;
  }
  item->tried = config->revision;
  std::vector<audit_record> archive = TakeArchive(*next);
  if (archive.empty()) {
    Write(item, at, std::move(*next));
  } else {
    Archive(item, at, std::move(*next), std::move(archive));
  }
}

// Decides about an earlier write whose answer was lost.
// \returns true when the submission is finished.
bool config_store::Settle(submission& item,
                          store_revision found,
                          const cluster_config& config) {
  const auto own = std::find_if(config.audit.begin(), config.audit.end(),
                                [&](const audit_record& record) {
                                  return record.token == item.change.token;
                                });
  if (own != config.audit.end()) {
    item.done(own->revision);
    return true;
  }
  if (item.unsettled && *item.unsettled != found) {
    const bool archived =
        !config.audit.empty() &&
        item.tried.value + 1 < config.audit.front().revision.value;
    if (archived || config.revision <= item.tried) {
      Fail(item, {error_kind::kUnknownOutcome,
                  "the audit trail does not reach back to the change",
                  "look for the change in the audit archive"});
      return true;
    }
    item.unsettled.reset();
  }
  return false;
}

void config_store::Archive(const submission_ref& item,
                           store_revision expected,
                           cluster_config next,
                           std::vector<audit_record> archive) {
  const std::string key =
      kAuditPrefix + std::to_string(archive.front().revision.value);
  // When the key is present, another entry has written the same records.
  store_.CompareAndSwap(
      key, store_revision{}, EncodeAudit(archive), std::nullopt,
      guard_.Wrap([this, item, expected,
                   next = std::move(next)](result<swap_result> swap) {
        if (swap) {
          Write(item, expected, next);
        } else if (swap.error().kind == error_kind::kUnknownOutcome) {
          Retry(item);
        } else {
          FailOrRetry(item, swap.error());
        }
      }));
}

void config_store::Write(const submission_ref& item,
                         store_revision expected,
                         cluster_config next) {
  auto config = std::make_shared<const cluster_config>(std::move(next));
  store_.CompareAndSwap(
      kConfigKey, expected, EncodeConfig(*config, audit_trail::kIncluded),
      std::nullopt,
      guard_.Wrap([this, item, expected, config](result<swap_result> swap) {
        if (swap && swap->swapped) {
          Offer(config);
          item->done(config->revision);
        } else if (swap) {
          Retry(item);
        } else if (swap.error().kind == error_kind::kUnknownOutcome) {
          item->unsettled = expected;
          Retry(item);
        } else {
          FailOrRetry(item, swap.error());
        }
      }));
}

void config_store::Retry(const submission_ref& item) {
  if (clock_.Now() >= item->limit) {
    Fail(*item, {error_kind::kUnavailable, "the store did not take the change",
                 "repeat the change later"});
    return;
  }
  const std::chrono::milliseconds delay(kRetryMinMs +
                                        random_.Below(kRetrySpreadMs));
  timers_.After(delay, guard_.Wrap([this, item] { Read(item); }));
}

// A write without an answer must be settled before the operator is told that
// the change was not accepted.
void config_store::FailOrRetry(const submission_ref& item,
                               const error& failure) {
  if (item->unsettled) {
    Retry(item);
  } else {
    Fail(*item, failure);
  }
}

void config_store::Fail(submission& item, error failure) {
  if (item.unsettled) {
    failure = {error_kind::kUnknownOutcome,
               "the change may have been accepted: " + failure.message,
               "look for it in the audit trail before it is repeated"};
  }
  item.done(tl::unexpected(std::move(failure)));
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
        // An archive is written before its records leave the configuration.
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
    LOG(ERROR) << "config: the key was deleted; revision "
               << holder_.revision().value << " stays in force";
    readable_ = false;
    return;
  }
  result<cluster_config> config = DecodeConfig(*event.value);
  readable_ = config.has_value();
  if (!config) {
    LOG(ERROR) << "config: " << ToString(config.error()) << "; revision "
               << holder_.revision().value << " stays in force";
    return;
  }
  stored_ = config->revision;
  Offer(std::make_shared<const cluster_config>(std::move(*config)));
}

void config_store::OnConfirmed() {
  if (readable_ && stored_ == holder_.revision()) {
    listener_.on_confirmed();
  }
}

}  // namespace jayrill
