#ifndef JAYRILL_AGENT_RUN_GUARD_H_
#define JAYRILL_AGENT_RUN_GUARD_H_

#include <algorithm>
#include <atomic>

#include "jayrill/base/clock.h"
#include "jayrill/base/ref_counted.h"

namespace jayrill {

/// Tells until when the entry of a run is known to have waited for its result.
/// A caller may submit its job again some time after that, so the lease of the
/// run must not reach further than a fixed time beyond it.
///
/// The agent core, which hears the entry, extends and closes the guard on one
/// thread. Any thread may read it.
class run_guard : public ref_counted<run_guard> {
 public:
  /// \p awaited_at is when the entry placed the start, or earlier.
  explicit run_guard(steady_time awaited_at) : awaited_at_(awaited_at) {}

  /// The entry was alive at \p when and had not given the run up by then. Has
  /// no effect after Close().
  void Extend(steady_time when) {
    if (!closed_) {
      awaited_at_.store(std::max(awaited_at(), when),
                        std::memory_order_release);
    }
  }

  /// The run must end, because its entry does not wait for it any more.
  void Close() { closed_ = true; }

  /// \returns the latest time at which the entry is known to have waited.
  steady_time awaited_at() const {
    return awaited_at_.load(std::memory_order_acquire);
  }

 private:
  std::atomic<steady_time> awaited_at_;
  bool closed_ = false;  ///< Used on the thread of the agent core only.
};

using run_guard_ptr = intrusive_ptr<run_guard>;

}  // namespace jayrill

#endif  // JAYRILL_AGENT_RUN_GUARD_H_
