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

#include "jayrill/base/error.h"
#include "jayrill/base/ids.h"

namespace jayrill {

/// Revision of the store at which a key was last changed; 0 means absent.
using store_revision = strong_id<struct store_revision_tag>;

/// Lease of the store.
using lease_id = strong_id<struct lease_id_tag>;

/// One key of the store.
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
  store_revision revision;  ///< New revision of the key, when swapped.
  /// The key as it was found, when not swapped and present.
  std::optional<store_entry> found;

  auto operator<=>(const swap_result&) const = default;
};

/// Port to the platform's key-value service.
///
/// All calls return at once; the callback runs later on the same thread,
/// exactly once, unless the store is destroyed first. An error of kind
/// kUnavailable means that the call had no effect, one of kind kUnknownOutcome
/// that it may have had one. Every call has a timeout.
class store {
 public:
  template <typename T>
  using callback = std::function<void(result<T>)>;

  /// A watch that ends when the handle is destroyed.
  class watch_handle {
   public:
    virtual ~watch_handle() = default;
  };

  /// Receiver of a watch.
  struct watch_listener {
    std::function<void(const store_event&)> on_event;
    /// Called when the watch is known to be live at the store, first and then
    /// at least once a second: the holder's view is current as of this call.
    /// Empty: no confirmation is wanted, which saves most reads of the store.
    std::function<void()> on_confirmed;
    /// Called when the watch was interrupted. It is re-established by itself;
    /// changes that were missed are reported as events.
    std::function<void(const error&)> on_interrupted;
    /// Called when every change up to a revision of the store was reported.
    /// May be empty; not every store tells.
    std::function<void(store_revision)> on_progress = {};
  };

  virtual ~store() = default;

  /// Reads one key; linearizable.
  virtual void Get(std::string key,
                   callback<std::optional<store_entry>> done) = 0;

  /// Reads all keys that start with \p prefix, in key order.
  virtual void List(std::string prefix,
                    callback<std::vector<store_entry>> done) = 0;

  /// Writes \p value if the key is still at \p expected (0: absent). Without
  /// \p value it deletes the key.
  virtual void CompareAndSwap(std::string key,
                              store_revision expected,
                              std::optional<std::string> value,
                              std::optional<lease_id> lease,
                              callback<swap_result> done) = 0;

  /// Grants a lease; keys written under it vanish when it ends.
  virtual void GrantLease(std::chrono::seconds ttl,
                          callback<lease_id> done) = 0;

  /// Renews \p lease. An error of kind kNotFound means that it has ended.
  virtual void KeepAlive(lease_id lease,
                         callback<std::chrono::seconds> done) = 0;

  /// Watches all keys that start with \p prefix. The current keys are reported
  /// first, as events; nothing is missed in between.
  virtual std::unique_ptr<watch_handle> Watch(std::string prefix,
                                              watch_listener listener) = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_STORE_STORE_H_
