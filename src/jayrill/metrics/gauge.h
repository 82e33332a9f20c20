#ifndef JAYRILL_METRICS_GAUGE_H_
#define JAYRILL_METRICS_GAUGE_H_

#include <atomic>
#include <cstdint>

namespace jayrill {

/// A value that may increase and decrease. Thread-safe.
class gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t change) {
    value_.fetch_add(change, std::memory_order_relaxed);
  }

  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

}  // namespace jayrill

#endif  // JAYRILL_METRICS_GAUGE_H_
