#ifndef JAYRILL_AGENT_INTERNAL_DURATIONS_H_
#define JAYRILL_AGENT_INTERNAL_DURATIONS_H_

#include <chrono>

#include "jayrill/base/clock.h"

namespace jayrill::agent::internal {

inline std::chrono::microseconds Micros(steady_duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration);
}

inline std::chrono::milliseconds Millis(steady_duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace jayrill::agent::internal

#endif  // JAYRILL_AGENT_INTERNAL_DURATIONS_H_
