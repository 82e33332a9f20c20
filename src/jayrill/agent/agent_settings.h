#ifndef JAYRILL_AGENT_AGENT_SETTINGS_H_
#define JAYRILL_AGENT_AGENT_SETTINGS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace jayrill {

/// Settings of one agent.
struct agent_settings {
  std::string id;
  std::string data_centre;
  std::string worker;
  std::string rack;
  /// Address for announcements; port 0 lets the system choose one.
  std::string http_address = "127.0.0.1:0";
  /// Address at which the agent calls its minion; the minion announces the
  /// port.
  std::string minion_host = "127.0.0.1";
  /// RPC addresses (IP:port) of some entries, from which the agent learns the
  /// others.
  std::vector<std::string> entries;
  /// Most entries that the agent holds sessions with; see SelectEntries.
  std::uint32_t entry_limit = 12;
  std::uint32_t slots_cap = 64;      ///< Most slots used of those announced.
  std::uint32_t queue_limit = 4096;  ///< Most starts that wait for a slot.
  /// How long a minion stays announced after its last announcement.
  std::chrono::milliseconds announce_ttl{3000};
  /// Shortest time between two reports to an entry that carry no result.
  std::chrono::milliseconds status_interval{20};
  /// A session counts as lost when it was disconnected for this time or three
  /// heartbeat intervals, whichever is longer.
  std::chrono::milliseconds session_lost_after{3000};
  /// The runs of an entry are stopped when nothing arrived from it for this
  /// long, because its callers may have submitted their jobs elsewhere by then.
  /// Zero: never.
  std::chrono::milliseconds silence_timeout{};
  /// Interval between reports to an entry whose tasks run here, if
  /// silence_timeout is set. The answers show that the entry is alive.
  std::chrono::milliseconds run_heartbeat{200};
  /// How long results of a disconnected session are kept.
  std::chrono::milliseconds result_retention{60'000};
  /// Longest time that a slot stays busy after the deadline of its task if the
  /// minion neither answers nor closes the connection.
  std::chrono::milliseconds slot_hold_limit{30'000};
  /// Longest duration of a graceful stop.
  std::chrono::milliseconds stop_limit{120'000};
  std::uint32_t max_result_bytes = 8U << 20U;

  auto operator<=>(const agent_settings&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_AGENT_SETTINGS_H_
