#include "jayrill/entry/answer_cache.h"

#include <utility>

namespace jayrill {
namespace {

std::size_t SizeOf(const std::string& key, const cached_answer& answer) {
  std::size_t size = 2 * key.size() + sizeof answer;
  if (answer.outcome) {
    for (const std::string& item : answer.outcome->results) {
      size += item.size() + sizeof(std::string);
    }
  } else {
    size += answer.outcome.error().message.size();
  }
  return size;
}

}  // namespace

void answer_cache::Put(const std::string& key,
                       cached_answer answer,
                       wall_time now) {
  DropExpired(now);
  if (answers_.contains(key)) {
    return;
  }
  bytes_ += SizeOf(key, answer);
  answers_.emplace(key, std::move(answer));
  order_.push_back(key);
  while (answers_.size() > max_count_ || bytes_ > max_bytes_) {
    DropOldest();
  }
}

const cached_answer* answer_cache::Find(const std::string& key, wall_time now) {
  DropExpired(now);
  const auto found = answers_.find(key);
  return found == answers_.end() || found->second.expires < now
             ? nullptr
             : &found->second;
}

void answer_cache::DropExpired(wall_time now) {
  while (!order_.empty() && answers_.at(order_.front()).expires < now) {
    DropOldest();
  }
}

void answer_cache::DropOldest() {
  const auto oldest = answers_.find(order_.front());
  bytes_ -= SizeOf(oldest->first, oldest->second);
  answers_.erase(oldest);
  order_.pop_front();
}

}  // namespace jayrill
