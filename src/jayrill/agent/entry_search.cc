#include "jayrill/agent/entry_search.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace jayrill {

entry_search::entry_search(entry_directory& directory,
                           scheduler& timers,
                           random_source random,
                           std::function<void(found_entries)> on_found)
    : directory_(directory),
      timers_(timers),
      random_(random),
      on_found_(std::move(on_found)) {}

void entry_search::SetConnectedEntries(std::size_t count) {
  const bool needed = count < kEnoughEntries;
  if (needed == searching_) {
    return;
  }
  searching_ = needed;
  ++search_;
  delay_ = kFirstDelay;
  if (searching_) {
    ScheduleLookUp();
  }
}

void entry_search::ScheduleLookUp() {
  const auto half = static_cast<std::uint64_t>(delay_.count()) / 2;
  const std::chrono::milliseconds wait(half + random_.Below(half + 1));
  delay_ = std::min(delay_ * 2, kLongestDelay);
  timers_.After(wait,
                guard_.Wrap([this, search = search_] { LookUp(search); }));
}

void entry_search::LookUp(std::uint64_t search) {
  if (search != search_) {
    return;
  }
  directory_.Find(guard_.Wrap([this, search](found_entries found) {
    if (search != search_) {
      return;
    }
    LOG(INFO) << "agent: looked entries up seeds=" << found.seeds.size()
              << " registered=" << found.registered.size();
    on_found_(std::move(found));
    ScheduleLookUp();
  }));
}

}  // namespace jayrill
