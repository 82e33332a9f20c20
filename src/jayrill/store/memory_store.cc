#include "jayrill/store/memory_store.h"

#include <algorithm>
#include <utility>

namespace jayrill {

namespace {

using std::chrono::milliseconds;

// Half of the second that watch_listener guarantees, to allow for timer jitter.
constexpr milliseconds kConfirmInterval(500);

error Unavailable() {
  return {error_kind::kUnavailable, "the store refused the call",
          "try again when the store is up"};
}

error UnknownOutcome() {
  return {error_kind::kUnknownOutcome, "the answer of the store was lost",
          "read the key back"};
}

bool IsWrite(memory_store::operation what) {
  return what != memory_store::operation::kGet &&
         what != memory_store::operation::kList;
}

}  // namespace

/// Compares the store with what was reported to the listener, and reports the
/// changes.
class memory_store::watch final : public store::watch_handle {
 public:
  watch(memory_store& parent, std::string prefix, watch_listener listener)
      : store_(&parent),
        prefix_(std::move(prefix)),
        listener_(std::move(listener)) {}

  ~watch() override {
    if (store_ != nullptr) {
      std::erase(store_->watches_, this);
    }
  }

  void Detach() { store_ = nullptr; }

  // Reports all changes since the last call, then confirms that the reported
  // events are up to date.
  void Sync() {
    Post([this] { Deliver(); });
  }

  void Interrupt() {
    Post([this] { listener_.on_interrupted(Unavailable()); });
  }

  void ConfirmPeriodically() {
    if (store_ != nullptr) {
      Sync();
      store_->timers_.After(kConfirmInterval,
                            guard_.Wrap([this] { ConfirmPeriodically(); }));
    }
  }

 private:
  template <typename Function>
  void Post(Function function) {
    store_->timers_.After(milliseconds(0), guard_.Wrap(std::move(function)));
  }

  // A listener may destroy this watch, so no member is used after a callback
  // without a check that the watch is alive.
  void Deliver() {
    if (store_ == nullptr || store_->down_) {
      return;
    }
    const std::weak_ptr<bool> alive = alive_;
    const std::vector<store_event> events = CollectChanges();
    const watch_listener listener = listener_;
    for (const store_event& event : events) {
      if (alive.expired()) {
        return;
      }
      listener.on_event(event);
    }
    if (!alive.expired() && listener.on_confirmed) {
      listener.on_confirmed();
    }
  }

  std::vector<store_event> CollectChanges() {
    std::vector<store_event> events;
    for (auto seen = seen_.begin(); seen != seen_.end();) {
      if (store_->records_.contains(seen->first)) {
        ++seen;
      } else {
        events.push_back({seen->first, std::nullopt, store_->revision_});
        seen = seen_.erase(seen);
      }
    }
    for (auto it = store_->records_.lower_bound(prefix_);
         it != store_->records_.end() && it->first.starts_with(prefix_); ++it) {
      store_revision& seen = seen_[it->first];
      if (seen != it->second.revision) {
        seen = it->second.revision;
        events.push_back({it->first, it->second.value, it->second.revision});
      }
    }
    std::sort(events.begin(), events.end(),
              [](const store_event& a, const store_event& b) {
                return a.revision < b.revision;
              });
    return events;
  }

  memory_store* store_;  // Null once the store is destroyed.
  std::string prefix_;
  watch_listener listener_;
  // Last reported revision of each key that exists.
  std::map<std::string, store_revision> seen_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  callback_guard guard_;
};

memory_store::memory_store(scheduler& timers, const clock& time)
    : timers_(timers), clock_(time) {}

memory_store::~memory_store() {
  for (watch* item : watches_) {
    item->Detach();
  }
}

void memory_store::set_down(bool down) {
  if (down && !down_) {
    for (watch* item : watches_) {
      item->Interrupt();
    }
  }
  down_ = down;
  SyncWatches();
}

template <typename T>
void memory_store::Call(operation what,
                        std::function<result<T>()> effect,
                        callback<T> done) {
  using kind = store_fault::kind;
  ++calls_;
  const store_fault fault = plan_ ? plan_(what) : store_fault{};
  const bool answered = fault.what == kind::kNone;
  const bool applied = answered || fault.what == kind::kAnswerLost;
  if (!answered) {
    const bool unknown = IsWrite(what) && fault.what != kind::kRefused;
    timers_.After(fault.answer_after, guard_.Wrap([unknown, done] {
      done(tl::unexpected(unknown ? UnknownOutcome() : Unavailable()));
    }));
  }
  if (!applied) {
    return;
  }
  const milliseconds remaining_delay =
      std::max(fault.answer_after - fault.apply_after, milliseconds(0));
  timers_.After(
      fault.apply_after, guard_.Wrap([this, answered, remaining_delay,
                                      effect = std::move(effect), done] {
        result<T> answer =
            down_ ? result<T>(tl::unexpected(Unavailable())) : effect();
        if (answered) {
          timers_.After(remaining_delay,
                        guard_.Wrap([answer, done] { done(answer); }));
        }
      }));
}

std::optional<store_entry> memory_store::Find(const std::string& key) const {
  const auto found = records_.find(key);
  if (found == records_.end()) {
    return std::nullopt;
  }
  return store_entry{key, found->second.value, found->second.revision};
}

void memory_store::Get(std::string key,
                       callback<std::optional<store_entry>> done) {
  Call<std::optional<store_entry>>(
      operation::kGet, [this, key = std::move(key)] { return Find(key); },
      std::move(done));
}

void memory_store::List(std::string prefix,
                        callback<std::vector<store_entry>> done) {
  Call<std::vector<store_entry>>(
      operation::kList,
      [this, prefix = std::move(prefix)] {
        std::vector<store_entry> entries;
        for (auto it = records_.lower_bound(prefix);
             it != records_.end() && it->first.starts_with(prefix); ++it) {
          entries.push_back({it->first, it->second.value, it->second.revision});
        }
        return entries;
      },
      std::move(done));
}

void memory_store::CompareAndSwap(std::string key,
                                  store_revision expected,
                                  std::optional<std::string> value,
                                  std::optional<lease_id> lease,
                                  callback<swap_result> done) {
  Call<swap_result>(
      operation::kSwap,
      [this, key = std::move(key), expected, value = std::move(value), lease] {
        return Swap(key, expected, value, lease);
      },
      std::move(done));
}

result<swap_result> memory_store::Swap(const std::string& key,
                                       store_revision expected,
                                       std::optional<std::string> value,
                                       std::optional<lease_id> lease) {
  if (lease && !leases_.contains(*lease)) {
    return MakeError(error_kind::kNotFound, "the lease has ended",
                     "grant a new lease");
  }
  std::optional<store_entry> found = Find(key);
  if ((found ? found->revision : store_revision{}) != expected) {
    return swap_result{false, {}, std::move(found)};
  }
  ++revision_.value;
  if (value) {
    records_[key] = {std::move(*value), revision_, lease};
  } else {
    records_.erase(key);
  }
  SyncWatches();
  return swap_result{true, revision_, std::nullopt};
}

void memory_store::GrantLease(std::chrono::seconds ttl,
                              callback<lease_id> done) {
  Call<lease_id>(
      operation::kGrant,
      [this, ttl]() -> result<lease_id> {
        const lease_id id{next_lease_++};
        leases_[id] = {ttl, clock_.Now() + ttl};
        ScheduleExpiry(id);
        return id;
      },
      std::move(done));
}

void memory_store::KeepAlive(lease_id id, callback<std::chrono::seconds> done) {
  Call<std::chrono::seconds>(
      operation::kKeepAlive,
      [this, id]() -> result<std::chrono::seconds> {
        const auto found = leases_.find(id);
        if (found == leases_.end() || found->second.end <= clock_.Now()) {
          return MakeError(error_kind::kNotFound, "the lease has ended",
                           "grant a new lease");
        }
        found->second.end = clock_.Now() + found->second.ttl;
        return found->second.ttl;
      },
      std::move(done));
}

void memory_store::ScheduleExpiry(lease_id id) {
  const auto wait =
      std::chrono::ceil<milliseconds>(leases_[id].end - clock_.Now());
  timers_.After(std::max(wait, milliseconds(0)), guard_.Wrap([this, id] {
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
      return;
    }
    if (found->second.end > clock_.Now()) {
      ScheduleExpiry(id);
    } else {
      EndLease(id);
    }
  }));
}

void memory_store::EndLease(lease_id id) {
  leases_.erase(id);
  ++revision_.value;
  std::erase_if(records_,
                [id](const auto& item) { return item.second.lease == id; });
  SyncWatches();
}

std::unique_ptr<store::watch_handle> memory_store::Watch(
    std::string prefix,
    watch_listener listener) {
  auto handle =
      std::make_unique<watch>(*this, std::move(prefix), std::move(listener));
  watches_.push_back(handle.get());
  if (down_) {
    handle->Interrupt();
  }
  handle->ConfirmPeriodically();
  return handle;
}

void memory_store::SyncWatches() {
  for (watch* item : watches_) {
    item->Sync();
  }
}

}  // namespace jayrill
