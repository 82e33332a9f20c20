#ifndef JAYRILL_STORE_STORE_H_
#define JAYRILL_STORE_STORE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/base/ids.h"

namespace jayrill {

/// Revision of the store, which each change increments. For a key: the revision
/// of its last change; 0 means that the key is absent.
using store_revision = strong_id<struct store_revision_tag>;

/// Identifies a lease of the store.
using lease_id = strong_id<struct lease_id_tag>;

/// A key with its value.
struct store_entry {
  std::string key;
  std::string value;
  store_revision revision;

  auto operator<=>(const store_entry&) const = default;
};

/// One change that a watch reports.
struct store_event {
  std::string key;
  std::optional<std::string> value;  ///< Nothing when the key was deleted.
  store_revision revision;

  auto operator<=>(const store_event&) const = default;
};

/// Answer to a compare-and-swap.
struct swap_result {
  bool swapped = false;
  store_revision revision;  ///< New revision of the key, if swapped.
  /// The current entry if not swapped; nothing when the key is absent.
  std::optional<store_entry> found;

  auto operator<=>(const swap_result&) const = default;
};

/// How far a watch has come.
struct watch_progress {
  store_revision as_of;  ///< Every change up to it was reported.
  /// The store held exactly this state then or later.
  steady_time asked;

  auto operator<=>(const watch_progress&) const = default;
};

/// Interface to the platform's key-value store.
///
/// All calls return at once; the callback runs later on the same thread,
/// exactly once, unless the store is destroyed first. kUnavailable means that
/// the call had no effect, kUnknownOutcome that it may have had or may still
/// have its effect. Every call has a timeout.
class store {
 public:
  template <typename T>
  using callback = std::function<void(result<T>)>;

  /// Handle of a watch; destroying it ends the watch.
  class watch_handle {
   public:
    virtual ~watch_handle() = default;
  };

  /// Callbacks of a watch.
  struct watch_listener {
    std::function<void(const store_event&)> on_event;
    /// Called when the store has shown that the reported events are up to date:
    /// once after the current keys are reported, then at least once per second
    /// while the store works. May be empty, which saves most reads of the
    /// store.
    std::function<void()> on_confirmed;
    /// Called when the watch was interrupted. The watch resumes by itself and
    /// then reports the changes that it missed.
    std::function<void(const error&)> on_interrupted;
    /// Called when every change up to a revision of the store was reported. May
    /// be empty; not every implementation calls it.
    std::function<void(const watch_progress&)> on_progress = {};
  };

  virtual ~store() = default;

  /// Reads one key with a linearizable read; nothing when the key is absent.
  virtual void Get(std::string key,
                   callback<std::optional<store_entry>> done) = 0;

  /// Reads all keys that start with \p prefix, in key order.
  virtual void List(std::string prefix,
                    callback<std::vector<store_entry>> done) = 0;

  /// Writes \p value if the revision of the key is \p expected (0: the key is
  /// absent). Without \p value it deletes the key. With \p lease the key is
  /// deleted when that lease ends; kNotFound means that it has already ended.
  virtual void CompareAndSwap(std::string key,
                              store_revision expected,
                              std::optional<std::string> value,
                              std::optional<lease_id> lease,
                              callback<swap_result> done) = 0;

  /// Grants a lease that ends \p ttl after its last renewal. The store then
  /// deletes the keys that were written with it.
  virtual void GrantLease(std::chrono::seconds ttl,
                          callback<lease_id> done) = 0;

  /// Renews \p lease; \p done gets its ttl. kNotFound means that it has ended.
  virtual void KeepAlive(lease_id lease,
                         callback<std::chrono::seconds> done) = 0;

  /// Watches all keys that start with \p prefix. First reports the current keys
  /// as events, then every later change.
  virtual std::unique_ptr<watch_handle> Watch(std::string prefix,
                                              watch_listener listener) = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_STORE_STORE_H_
