#include "jayrill/membership/membership.h"

#include <glog/logging.h>

#include <cassert>
#include <utility>

namespace jayrill {

namespace {

// Also the pause after a failed call.
constexpr std::chrono::milliseconds kTick(250);

}  // namespace

membership::membership(store& backing,
                       scheduler& timers,
                       const clock& time,
                       entry_record own,
                       view_function on_change)
    : store_(backing),
      timers_(timers),
      clock_(time),
      own_(std::move(own)),
      own_key_(kEntriesPrefix + own_.id),
      on_change_(std::move(on_change)) {
  watch_ = store_.Watch(
      kEntriesPrefix,
      {[this](const store_event& event) { OnEvent(event); },
       {},
       [this](const error& failure) { log_.OnInterrupted(failure); },
       [this](store_revision) { log_.OnWorking(); }});
  Tick();
}

membership::~membership() = default;

void membership::Update(entry_record own) {
  assert(own.id == own_.id && "the id of an entry does not change");
  own_ = std::move(own);
}

void membership::Tick() {
  Step();
  timers_.After(kTick, guard_.Wrap([this] { Tick(); }));
}

void membership::Step() {
  if (busy_ || leaving_) {
    return;
  }
  const steady_time now = clock_.Now();
  if (!lease_) {
    Grant();
  } else if (now >= keep_alive_due_) {
    KeepAlive();
  } else if (!revision_known_) {
    ReadBack();
  } else if (written_.empty() || now >= record_due_) {
    Write();
  }
}

void membership::Grant() {
  busy_ = true;
  store_.GrantLease(kLeaseTtl, guard_.Wrap([this](result<lease_id> granted) {
    busy_ = false;
    if (granted) {
      lease_ = *granted;
      keep_alive_due_ = clock_.Now() + kKeepAliveInterval;
      Step();
    }
  }));
}

void membership::KeepAlive() {
  busy_ = true;
  store_.KeepAlive(*lease_,
                   guard_.Wrap([this](result<std::chrono::seconds> renewed) {
                     busy_ = false;
                     if (renewed) {
                       keep_alive_due_ = clock_.Now() + kKeepAliveInterval;
                       Step();
                     } else if (renewed.error().kind == error_kind::kNotFound) {
                       LoseLease();
                       Step();
                     }
                   }));
}

void membership::LoseLease() {
  LOG(WARNING) << "store: the lease of entry " << own_.id
               << " has ended; it registers again";
  lease_.reset();
  written_.clear();
  revision_known_ = false;
}

void membership::Write() {
  std::string text = EncodeEntryRecord(own_);
  record_due_ = clock_.Now() + kRecordInterval;
  if (text == written_) {
    return;
  }
  busy_ = true;
  store_.CompareAndSwap(
      own_key_, own_revision_, text, lease_,
      guard_.Wrap([this, text](const result<swap_result>& swap) {
        busy_ = false;
        OnWrite(text, swap);
      }));
}

void membership::OnWrite(const std::string& text,
                         const result<swap_result>& swap) {
  if (swap && swap->swapped) {
    own_revision_ = swap->revision;
    written_ = text;
    return;
  }
  // The next step writes again. A record of the process that this one replaces
  // is overwritten, so that it does not keep its lease.
  record_due_ = clock_.Now();
  if (swap) {
    own_revision_ = swap->found ? swap->found->revision : store_revision{};
    Step();
  } else if (swap.error().kind == error_kind::kNotFound) {
    LoseLease();
  } else {
    revision_known_ = false;
  }
}

void membership::ReadBack() {
  busy_ = true;
  store_.Get(own_key_,
             guard_.Wrap([this](result<std::optional<store_entry>> found) {
               busy_ = false;
               if (found) {
                 revision_known_ = true;
                 own_revision_ = *found ? (*found)->revision : store_revision{};
                 written_.clear();
                 Step();
               }
             }));
}

void membership::Leave(const std::function<void()>& done) {
  leaving_ = true;
  watch_.reset();
  store_.CompareAndSwap(
      own_key_, own_revision_, std::nullopt, std::nullopt,
      guard_.Wrap([done](const result<swap_result>&) { done(); }));
}

void membership::OnEvent(const store_event& event) {
  log_.OnWorking();
  if (!event.value) {
    RemoveLater(event.key);
    return;
  }
  result<entry_record> record = DecodeEntryRecord(*event.value);
  if (!record) {
    LOG(ERROR) << "store: " << event.key << ": " << ToString(record.error());
    return;
  }
  entries_[event.key] = {std::move(*record), ++next_version_};
  on_change_(Entries());
}

void membership::RemoveLater(const std::string& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return;
  }
  const std::uint64_t version = ++next_version_;
  found->second.version = version;
  timers_.After(kRemovalDelay, guard_.Wrap([this, key, version] {
    const auto kept = entries_.find(key);
    if (kept != entries_.end() && kept->second.version == version) {
      entries_.erase(kept);
      on_change_(Entries());
    }
  }));
}

std::vector<entry_record> membership::Entries() const {
  std::vector<entry_record> entries;
  for (const auto& [key, known] : entries_) {
    entries.push_back(known.record);
  }
  return entries;
}

std::vector<std::string> membership::RpcAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [key, known] : entries_) {
    addresses.push_back(known.record.rpc_address);
  }
  return addresses;
}

}  // namespace jayrill
