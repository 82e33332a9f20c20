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
class agent_table {
 public:
  /// \returns the session of the agent \p agent_id, a new one if need be.
  agent_session& Add(const std::string& agent_id,
                     std::chrono::milliseconds slow_start);

  /// \returns the session, or null when the agent is forgotten.
  agent_session* Find(agent_handle handle);

  /// \returns the pool of \p service, a new one if need be.
  service_pool& Pool(const std::string& service);

  /// Puts \p session into the pool of the service that its minion announces,
  /// and out of the one that it announced before. Must be called after every
  /// change of its status or of its being open.
  void UpdatePool(agent_session& session);

  /// Removes agents without a session, and services without minions and
  /// tasks, that have been so for long.
  /// \returns the agents that were removed.
  std::vector<agent_handle> Forget(steady_time now);

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
  std::map<agent_handle, std::string> announced_;
  std::map<std::string, service_pool, std::less<>> pools_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_AGENT_TABLE_H_
