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
  /// RPC addresses (IP:port) of entries that are always dialled.
  std::vector<std::string> entries;
  std::uint32_t slots_cap = 64;  ///< Bound on the slots a minion announces.
  std::uint32_t queue_limit = 4096;
  /// How long a minion stays announced after its last announcement.
  std::chrono::milliseconds announce_ttl{3000};
  /// Interval between two reports to an entry that carry no result.
  std::chrono::milliseconds status_interval{20};
  /// Lower bound of the time after which a disconnected session counts as
  /// lost; three heartbeat intervals if that is longer.
  std::chrono::milliseconds session_lost_after{3000};
  /// Silence of an entry after which its runs are stopped; zero: never. Its
  /// callers may then have repeated their jobs elsewhere.
  std::chrono::milliseconds run_silence{};
  /// Interval between reports to an entry that has runs here, when run_silence
  /// is set; their answers show that the entry lives.
  std::chrono::milliseconds run_heartbeat{200};
  /// How long results of a disconnected session are kept.
  std::chrono::milliseconds result_keep{60'000};
  /// How long a slot stays busy after the deadline of its task while the
  /// minion neither answers nor closes the connection.
  std::chrono::milliseconds slot_hold_limit{30'000};
  /// Longest duration of a graceful stop.
  std::chrono::milliseconds stop_limit{120'000};
  std::uint32_t max_result_bytes = 8U << 20U;

  auto operator<=>(const agent_settings&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_AGENT_SETTINGS_H_
