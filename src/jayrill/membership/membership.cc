#include "jayrill/membership/membership.h"

#include <glog/logging.h>

#include <cassert>
#include <utility>

namespace jayrill {

namespace {

// Interval at which due store calls are started; also the delay before a failed
// call is tried again.
constexpr std::chrono::milliseconds kTickInterval(250);

}  // namespace

membership::membership(store& backing_store,
                       scheduler& timers,
                       const clock& time,
                       entry_record own_record,
                       view_function on_change)
    : store_(backing_store),
      timers_(timers),
      clock_(time),
      own_record_(std::move(own_record)),
      own_key_(kEntriesPrefix + own_record_.id),
      on_change_(std::move(on_change)) {
  watch_ = store_.Watch(
      kEntriesPrefix,
      {[this](const store_event& event) { OnEvent(event); },
       {},
       [this](const error& failure) { log_.OnInterrupted(failure); },
       [this](const watch_progress&) { log_.OnWorking(); }});
  Tick();
}

membership::~membership() = default;

void membership::Update(entry_record own_record) {
  assert(own_record.id == own_record_.id &&
         "the id of an entry does not change");
  own_record_ = std::move(own_record);
}

void membership::Tick() {
  StartNextCall();
  timers_.After(kTickInterval, guard_.Wrap([this] { Tick(); }));
}

void membership::StartNextCall() {
  if (call_in_flight_ || leaving_) {
    return;
  }
  const steady_time now = clock_.Now();
  if (!lease_) {
    RequestLease();
  } else if (now >= keep_alive_due_) {
    KeepAlive();
  } else if (!revision_known_) {
    ReadOwnRevision();
  } else if (stored_text_.empty() || now >= record_due_) {
    WriteRecord();
  }
}

void membership::RequestLease() {
  call_in_flight_ = true;
  store_.GrantLease(kLeaseTtl, guard_.Wrap([this](result<lease_id> granted) {
    call_in_flight_ = false;
    if (granted) {
      lease_ = *granted;
      keep_alive_due_ = clock_.Now() + kKeepAliveInterval;
      StartNextCall();
    }
  }));
}

void membership::KeepAlive() {
  call_in_flight_ = true;
  store_.KeepAlive(*lease_,
                   guard_.Wrap([this](result<std::chrono::seconds> renewed) {
                     call_in_flight_ = false;
                     if (renewed) {
                       keep_alive_due_ = clock_.Now() + kKeepAliveInterval;
                       StartNextCall();
                     } else if (renewed.error().kind == error_kind::kNotFound) {
                       OnLeaseLost();
                       StartNextCall();
                     }
                   }));
}

void membership::OnLeaseLost() {
  LOG(WARNING) << "store: the lease of entry " << own_record_.id
               << " has ended; registering the entry again";
  lease_.reset();
  stored_text_.clear();
  revision_known_ = false;
}

void membership::WriteRecord() {
  std::string text = EncodeEntryRecord(own_record_);
  record_due_ = clock_.Now() + kRecordInterval;
  if (text == stored_text_) {
    return;
  }
  call_in_flight_ = true;
  store_.CompareAndSwap(
      own_key_, own_revision_, text, lease_,
      guard_.Wrap([this, text](const result<swap_result>& swap) {
        call_in_flight_ = false;
        OnWrite(text, swap);
      }));
}

void membership::OnWrite(const std::string& text,
                         const result<swap_result>& swap) {
  if (swap && swap->swapped) {
    own_revision_ = swap->revision;
    stored_text_ = text;
    return;
  }
  // Makes StartNextCall write again. A record of the process that this one
  // replaces is overwritten, which moves it to the lease of this process.
  record_due_ = clock_.Now();
  if (swap) {
    own_revision_ = swap->found ? swap->found->revision : store_revision{};
    StartNextCall();
  } else if (swap.error().kind == error_kind::kNotFound) {
    OnLeaseLost();
  } else {
    revision_known_ = false;
  }
}

void membership::ReadOwnRevision() {
  call_in_flight_ = true;
  store_.Get(own_key_,
             guard_.Wrap([this](result<std::optional<store_entry>> found) {
               call_in_flight_ = false;
               if (found) {
                 revision_known_ = true;
                 own_revision_ = *found ? (*found)->revision : store_revision{};
                 stored_text_.clear();
                 StartNextCall();
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
    ScheduleRemoval(event.key);
    return;
  }
  result<entry_record> record =
      DecodeStoredEntryRecord(event.key, *event.value);
  if (!record) {
    LOG_EVERY_N(ERROR, 20) << "store: ignored the record of an entry key="
                           << event.key << " " << ToString(record.error());
    return;
  }
  entries_[event.key] = {std::move(*record), ++next_version_};
  on_change_(Entries());
}

void membership::ScheduleRemoval(const std::string& key) {
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
