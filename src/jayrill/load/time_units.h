#ifndef JAYRILL_LOAD_TIME_UNITS_H_
#define JAYRILL_LOAD_TIME_UNITS_H_

#include <chrono>

namespace jayrill {

inline constexpr double kMicrosecondsPerMillisecond = 1e3;
inline constexpr double kMicrosecondsPerSecond = 1e6;

/// \returns \p time as a number of microseconds.
inline double ToMicroseconds(std::chrono::microseconds time) {
  return static_cast<double>(time.count());
}

/// \returns \p time as a number of milliseconds, with fractions.
inline double ToMilliseconds(std::chrono::microseconds time) {
  return ToMicroseconds(time) / kMicrosecondsPerMillisecond;
}

/// \returns \p time as a number of seconds, with fractions.
inline double ToSeconds(std::chrono::microseconds time) {
  return ToMicroseconds(time) / kMicrosecondsPerSecond;
}

}  // namespace jayrill

#endif  // JAYRILL_LOAD_TIME_UNITS_H_
