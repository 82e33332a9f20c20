#include "jayrill/entry/start_up/start_up_wait.h"

#include <algorithm>
#include <string>

namespace jayrill {

steady_time start_up_wait::End() const {
  const steady_time latest = started_ + kMaxAgentWait;
  return last_connect_ ? std::min(latest, *last_connect_ + kAgentQuietTime)
                       : latest;
}

std::optional<refusal> start_up_wait::Check(const start_up_load& load) const {
  if (load.capacity <= 0 || load.objective.count() == 0) {
    return std::nullopt;
  }
  const std::chrono::duration<double, std::micro> drain_time =
      load.work / load.capacity;
  const auto finish = std::max(
      load.longest_task,
      std::chrono::duration_cast<std::chrono::microseconds>(drain_time));
  if (finish <= load.objective) {
    return std::nullopt;
  }
  // Once the work that was admitted is done, there is room again.
  refusal reason{
      kStartingCode,
      "this entry has just started, and the work that it has admitted takes " +
          std::to_string(finish.count() / 1000) +
          " ms on the agents that have connected so far",
      "submit again after the time in Retry-After"};
  reason.retry_after = std::max(
      reason.retry_after, std::chrono::ceil<std::chrono::milliseconds>(finish));
  return reason;
}

}  // namespace jayrill
