#include "jayrill/agent/out_list_refresh.h"

#include <algorithm>

namespace jayrill {

out_list_refresh::out_list_refresh(const clock& time, random_source random)
    : time_(time),
      random_(random),
      first_confirmed_(time.Now() + kStartDelay - kMaxUnconfirmed) {}

std::optional<std::chrono::milliseconds> out_list_refresh::Tick(
    std::optional<steady_time> confirmed) {
  const steady_time now = time_.Now();
  if (is_reading_) {
    return std::nullopt;
  }
  if (now - confirmed.value_or(first_confirmed_) <= kMaxUnconfirmed) {
    next_read_.reset();
    is_retry_ = false;
    retry_delay_ = kFirstRetryDelay;
    return std::nullopt;
  }
  if (!next_read_) {
    next_read_ = now + Jitter(kSpread);
  }
  if (now < *next_read_) {
    return std::nullopt;
  }
  is_reading_ = true;
  read_began_ = now;
  return is_retry_ ? kRetryLimit : kReadLimit;
}

bool out_list_refresh::ShouldAskEntry(std::optional<steady_time> confirmed) {
  const steady_time now = time_.Now();
  const steady_duration age = now - confirmed.value_or(first_confirmed_);
  if (age <= kAskEntryAfter || age > kMaxUnconfirmed ||
      (entry_asked_ && now - *entry_asked_ < kAskEntryInterval)) {
    return false;
  }
  entry_asked_ = now;
  return true;
}

steady_time out_list_refresh::OnReadEnded(bool has_answer) {
  is_reading_ = false;
  is_retry_ = !has_answer;
  if (has_answer) {
    next_read_.reset();
    retry_delay_ = kFirstRetryDelay;
  } else {
    next_read_ = time_.Now() + retry_delay_ / 2 + Jitter(retry_delay_ / 2);
    retry_delay_ = std::min(retry_delay_ * 2, kLongestRetryDelay);
  }
  return read_began_;
}

std::chrono::milliseconds out_list_refresh::Jitter(
    std::chrono::milliseconds bound) {
  return std::chrono::milliseconds(
      random_.Below(static_cast<std::uint64_t>(bound.count())));
}

}  // namespace jayrill
