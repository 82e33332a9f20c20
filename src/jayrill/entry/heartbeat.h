#ifndef JAYRILL_ENTRY_HEARTBEAT_H_
#define JAYRILL_ENTRY_HEARTBEAT_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace jayrill {

/// Bytes of one heartbeat exchange with an agent, and the bytes a second that
/// an entry may spend on heartbeats. A node may spend 23 KB/s on control; the
/// rest is for the store.
inline constexpr std::size_t kHeartbeatBytes = 350;
inline constexpr std::size_t kHeartbeatBytesPerSecond = 20'000;

/// Intervals after which a silent agent counts as disconnected.
inline constexpr int kSilentIntervals = 3;

/// Time that a disconnected session waits for its agent.
inline constexpr std::chrono::milliseconds kSessionLostAfter{3000};

/// \returns the interval between heartbeats of an entry with \p sessions.
inline std::chrono::milliseconds HeartbeatInterval(std::size_t sessions) {
  const std::size_t millis =
      sessions * kHeartbeatBytes * 1000 / kHeartbeatBytesPerSecond;
  return std::max(std::chrono::milliseconds(1000),
                  std::chrono::milliseconds(millis));
}

/// Reports without results that an entry takes a second from all agents
/// together, for each core that it may use. One costs about 0.1 ms, so they
/// take at most a tenth of its processor time.
inline constexpr double kStatusReportsPerCore = 1000;

/// \returns the shortest time between two reports without results of one
/// agent, for an entry with \p sessions that may use \p cores.
inline std::chrono::milliseconds StatusReportInterval(std::size_t sessions,
                                                      double cores) {
  const double seconds =
      static_cast<double>(sessions) / (kStatusReportsPerCore * cores);
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds));
}

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_HEARTBEAT_H_
