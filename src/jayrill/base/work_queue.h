#ifndef JAYRILL_BASE_WORK_QUEUE_H_
#define JAYRILL_BASE_WORK_QUEUE_H_

#include <functional>
#include <mutex>
#include <vector>

namespace jayrill {

/// Hands functions from any thread to the one thread that drains the queue.
///
/// The drained thread waits on an eventfd, which fits the event loops of both
/// kj and Qt. Functions run in the order in which one thread posted them.
class work_queue {
 public:
  using work = std::function<void()>;

  work_queue();
  ~work_queue();
  work_queue(const work_queue&) = delete;
  work_queue& operator=(const work_queue&) = delete;

  /// Adds \p item and makes event_fd() readable.
  void Post(work item);

  /// Runs everything that was posted before the call. Called by the owning
  /// thread when event_fd() is readable.
  void Drain();

  /// \returns a descriptor that is readable while work waits. The queue keeps
  /// its ownership.
  int event_fd() const { return event_fd_; }

 private:
  std::mutex mutex_;
  std::vector<work> items_;
  int event_fd_;
};

}  // namespace jayrill

#endif  // JAYRILL_BASE_WORK_QUEUE_H_
