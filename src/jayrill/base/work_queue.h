#ifndef JAYRILL_BASE_WORK_QUEUE_H_
#define JAYRILL_BASE_WORK_QUEUE_H_

#include <functional>
#include <mutex>
#include <vector>

namespace jayrill {

/// Passes functions from any thread to the one thread that calls Drain.
///
/// That thread waits for an eventfd, which works with the event loops of both
/// kj and Qt. Functions that one thread posts run in the order in which it
/// posted them.
class work_queue {
 public:
  using work = std::function<void()>;

  work_queue();
  ~work_queue();
  work_queue(const work_queue&) = delete;
  work_queue& operator=(const work_queue&) = delete;

  /// Adds \p item and makes event_fd() readable. May be called from any thread.
  void Post(work item);

  /// Runs all functions that were posted before the call. The draining thread
  /// calls it when event_fd() is readable.
  void Drain();

  /// The same between two of these calls, for a function that must come after
  /// what was posted before it. Leaves event_fd() readable, so that a thread
  /// that waits for it still wakes up.
  void RunPosted();

  /// \returns a descriptor that is readable while functions are waiting. The
  /// queue owns it.
  int event_fd() const { return event_fd_; }

 private:
  std::mutex mutex_;
  std::vector<work> items_;
  int event_fd_;
};

}  // namespace jayrill

#endif  // JAYRILL_BASE_WORK_QUEUE_H_
