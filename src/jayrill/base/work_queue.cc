#include "jayrill/base/work_queue.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cassert>
#include <cstdint>
#include <utility>

namespace jayrill {

work_queue::work_queue() : event_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  assert(event_fd_ >= 0 && "the process is out of file descriptors");
}

work_queue::~work_queue() {
  close(event_fd_);
}

void work_queue::Post(work item) {
  bool was_empty = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    was_empty = items_.empty();
    items_.push_back(std::move(item));
  }
  if (was_empty) {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(event_fd_, &one, sizeof(one));
  }
}

void work_queue::Drain() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto got = read(event_fd_, &count, sizeof(count));
  RunPosted();
}

void work_queue::RunPosted() {
  std::vector<work> items;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    items.swap(items_);
  }
  for (work& item : items) {
    item();
  }
}

}  // namespace jayrill
