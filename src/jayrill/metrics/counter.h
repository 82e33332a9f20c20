#ifndef JAYRILL_METRICS_COUNTER_H_
#define JAYRILL_METRICS_COUNTER_H_

#include <atomic>
#include <cstdint>

namespace jayrill {

/// A number of events, which never decreases. Thread-safe.
class counter {
 public:
  void Add(std::uint64_t count = 1) {
    value_.fetch_add(count, std::memory_order_relaxed);
  }

  /// Raises the value to \p total, for events that are counted elsewhere. A
  /// total that is lower than the value has no effect.
  void RaiseTo(std::uint64_t total) {
    std::uint64_t current = value();
    while (current < total && !value_.compare_exchange_weak(
                                  current, total, std::memory_order_relaxed)) {
    }
  }

  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

}  // namespace jayrill

#endif  // JAYRILL_METRICS_COUNTER_H_
