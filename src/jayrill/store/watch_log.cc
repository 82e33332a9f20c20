#include "jayrill/store/watch_log.h"

#include <glog/logging.h>

#include <utility>

namespace jayrill {

watch_log::watch_log(std::string prefix, std::string what)
    : prefix_(std::move(prefix)), what_(std::move(what)) {}

void watch_log::OnInterrupted(const error& failure) {
  if (++failures_ == 1) {
    LOG(WARNING) << prefix_ << ": the watch of the " << what_
                 << " is interrupted: " << ToString(failure);
  }
}

void watch_log::OnWorking() {
  if (std::exchange(failures_, 0) > 0) {
    LOG(INFO) << prefix_ << ": the watch of the " << what_ << " works again";
  }
}

}  // namespace jayrill
