#include "jayrill/placement/minion_health.h"

#include <algorithm>

namespace jayrill {

minion_health::permission minion_health::Permission(steady_time now) const {
  if (!blocked_) {
    return permission::kAllowed;
  }
  return !trial_running_ && now >= next_trial_ ? permission::kTrial
                                               : permission::kBlocked;
}

void minion_health::OnStart(steady_time now) {
  if (blocked_) {
    trial_running_ = true;
    next_trial_ = now + delay_;
  }
}

void minion_health::OnResult(bool succeeded, steady_time now) {
  if (succeeded) {
    consecutive_failures_ = 0;
    blocked_ = false;
    trial_running_ = false;
    delay_ = kFirstDelay;
    return;
  }
  ++consecutive_failures_;
  if (blocked_) {
    // Starts that were sent before the minion was blocked may fail as well;
    // only a failed trial lengthens the delay.
    if (trial_running_) {
      trial_running_ = false;
      delay_ = std::min(delay_ * 2, kLongestDelay);
      next_trial_ = now + delay_;
    }
  } else if (consecutive_failures_ >= kFailuresToBlock) {
    blocked_ = true;
    next_trial_ = now + delay_;
  }
}

}  // namespace jayrill
