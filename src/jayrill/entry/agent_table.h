#ifndef JAYRILL_ENTRY_AGENT_TABLE_H_
#define JAYRILL_ENTRY_AGENT_TABLE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jayrill/entry/agent_session.h"
#include "jayrill/entry/service_pool.h"

namespace jayrill {

/// The agents and services that an entry knows of.
///
/// Used on the dispatcher thread only. Sessions and pools keep their address
/// until RemoveStale removes them.
class agent_table {
 public:
  /// \returns the session of the agent \p agent_id; creates it if there is
  /// none.
  agent_session& FindOrAdd(const std::string& agent_id,
                           std::chrono::milliseconds slow_start);

  /// \returns the session, or null when the agent is not known.
  agent_session* Find(agent_handle handle);

  /// \returns the pool of \p service; creates it if there is none.
  service_pool& Pool(const std::string& service);

  /// Moves \p session from the pool of the service that its minion announced
  /// before to that of the service that it announces now. Must be called
  /// whenever the session has got a status or was opened or closed.
  void UpdatePool(agent_session& session);

  /// Removes agents without an open session that have been silent for long, and
  /// services that have had no minions for long and have no waiting tasks.
  /// \returns the agents that were removed.
  std::vector<agent_handle> RemoveStale(steady_time now);

  /// \returns how many agents have an open session.
  std::size_t open_sessions() const;

  /// \returns how many agents are connected.
  std::size_t connected() const;

  std::map<agent_handle, std::unique_ptr<agent_session>>& sessions() {
    return sessions_;
  }
  std::map<std::string, service_pool, std::less<>>& pools() { return pools_; }

 private:
  std::uint64_t last_handle_ = 0;
  std::map<std::string, agent_handle, std::less<>> handles_;
  std::map<agent_handle, std::unique_ptr<agent_session>> sessions_;
  /// The service in whose pool each session is; empty if in none.
  std::map<agent_handle, std::string> announced_services_;
  std::map<std::string, service_pool, std::less<>> pools_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_AGENT_TABLE_H_
