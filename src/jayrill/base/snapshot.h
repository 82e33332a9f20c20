#ifndef JAYRILL_BASE_SNAPSHOT_H_
#define JAYRILL_BASE_SNAPSHOT_H_

#include <urcu/urcu-memb.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

#include "jayrill/base/thread_sanitizer.h"

namespace jayrill {

/// Registers the current thread with liburcu as a reader of snapshots while the
/// object exists.
///
/// Each thread that calls snapshot::Read needs one, and must destroy it. A
/// thread may have several, for example one in each object that reads; it is
/// registered once.
class snapshot_reader_thread {
 public:
  snapshot_reader_thread() {
    if (registrations++ == 0) {
      urcu_memb_register_thread();
    }
  }
  ~snapshot_reader_thread() {
    if (--registrations == 0) {
      urcu_memb_unregister_thread();
    }
  }
  snapshot_reader_thread(const snapshot_reader_thread&) = delete;
  snapshot_reader_thread& operator=(const snapshot_reader_thread&) = delete;

 private:
  static inline thread_local int registrations = 0;
};

/// A value that many threads read without locks and that is replaced as a
/// whole (read-copy-update).
///
/// Read and Publish may be called from any thread; threads that read need a
/// snapshot_reader_thread. The function that is passed to Read must not block,
/// because Publish waits for all readers before it frees the previous value. It
/// must not call Publish, which would wait for itself.
template <typename T>
class snapshot {
 public:
  explicit snapshot(T initial)
      : current_(std::make_unique<const T>(std::move(initial)).release()) {}
  ~snapshot() { delete current_.load(std::memory_order_acquire); }
  snapshot(const snapshot&) = delete;
  snapshot& operator=(const snapshot&) = delete;

  /// Calls \p function with the current value.
  /// \returns what \p function returns.
  template <typename Function>
  auto Read(Function&& function) const {
    const read_section section(this);
    return std::forward<Function>(function)(
        *current_.load(std::memory_order_acquire));
  }

  /// \returns a copy of the current value.
  T Copy() const {
    return Read([](const T& value) { return value; });
  }

  /// Replaces the value. Blocks until no reader uses the previous one.
  void Publish(T next) {
    const std::lock_guard<std::mutex> lock(writer_mutex_);
    const T* const previous =
        current_.exchange(std::make_unique<const T>(std::move(next)).release(),
                          std::memory_order_acq_rel);
    urcu_memb_synchronize_rcu();
    AnnotateAcquire(this);
    delete previous;
  }

 private:
  class read_section {
   public:
    explicit read_section(const snapshot* snapshot_address)
        : snapshot_address_(snapshot_address) {
      urcu_memb_read_lock();
    }
    ~read_section() {
      // liburcu is not instrumented, so the thread sanitizer does not know that
      // the end of a read section happens before the return of
      // synchronize_rcu.
      AnnotateRelease(snapshot_address_);
      urcu_memb_read_unlock();
    }
    read_section(const read_section&) = delete;
    read_section& operator=(const read_section&) = delete;

   private:
    const snapshot* snapshot_address_;
  };

  std::atomic<const T*> current_;
  std::mutex writer_mutex_;
};

}  // namespace jayrill

#endif  // JAYRILL_BASE_SNAPSHOT_H_
