#ifndef JAYRILL_ENTRY_HEARTBEAT_H_
#define JAYRILL_ENTRY_HEARTBEAT_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace jayrill {

/// Size of one heartbeat call with its reply, and the bandwidth that an entry
/// may use for heartbeats. A node may use 23 KB/s for control traffic; the rest
/// is for the store.
inline constexpr std::size_t kHeartbeatBytes = 350;
inline constexpr std::size_t kHeartbeatBytesPerSecond = 20'000;

/// Heartbeat intervals without a message after which an agent counts as
/// disconnected.
inline constexpr int kMaxMissedHeartbeats = 3;

/// Time that a disconnected session waits for its agent to reconnect.
inline constexpr std::chrono::milliseconds kSessionLostAfter{3000};

/// \returns the interval between heartbeats of an entry with \p sessions: 1 s,
/// or longer if the heartbeats would exceed their bandwidth.
inline std::chrono::milliseconds HeartbeatInterval(std::size_t sessions) {
  const std::size_t interval_ms =
      sessions * kHeartbeatBytes * 1000 / kHeartbeatBytesPerSecond;
  return std::max(std::chrono::milliseconds(1000),
                  std::chrono::milliseconds(interval_ms));
}

/// Limit of the reports without results per second that an entry gets from all
/// agents together, for each core that it may use. One report costs about
/// 0.1 ms, so they use at most 4 % of the processor time of the entry. Results
/// and returned starts bring the load of a minion as well, so the minions that
/// an entry works with are known better than by these reports alone.
inline constexpr double kStatusReportsPerCoreAndSecond = 400;

/// \returns the shortest time between two reports without results of one
/// agent, for an entry with \p sessions that may use \p cores.
inline std::chrono::milliseconds StatusReportInterval(std::size_t sessions,
                                                      double cores) {
  const double seconds =
      static_cast<double>(sessions) / (kStatusReportsPerCoreAndSecond * cores);
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds));
}

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_HEARTBEAT_H_
