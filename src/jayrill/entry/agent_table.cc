#include "jayrill/entry/agent_table.h"

#include <algorithm>

namespace jayrill {

namespace {

/// An agent without an open session is removed, with the learned speed of its
/// minion, this long after its last message. A service without minions is
/// removed this long after it became unavailable.
constexpr std::chrono::minutes kRemoveAfter{10};

}  // namespace

agent_session& agent_table::FindOrAdd(const std::string& agent_id,
                                      std::chrono::milliseconds slow_start) {
  const auto found = handles_.find(agent_id);
  if (found != handles_.end()) {
    return *sessions_.at(found->second);
  }
  const agent_handle handle{++last_handle_};
  handles_.emplace(agent_id, handle);
  return *sessions_
              .emplace(handle, std::make_unique<agent_session>(handle, agent_id,
                                                               slow_start))
              .first->second;
}

agent_session* agent_table::Find(agent_handle handle) {
  const auto found = sessions_.find(handle);
  return found == sessions_.end() ? nullptr : found->second.get();
}

service_pool& agent_table::Pool(const std::string& service) {
  return pools_.try_emplace(service, service).first->second;
}

void agent_table::UpdatePool(agent_session& session) {
  const std::string service =
      session.open() ? session.status().service : std::string();
  std::string& announced = announced_services_[session.handle()];
  if (announced != service) {
    if (!announced.empty()) {
      Pool(announced).RemoveMinion(&session);
    }
    if (!service.empty()) {
      Pool(service).AddMinion(&session);
    }
    announced = service;
  }
  if (!service.empty()) {
    Pool(service).set_needs_placement(true);
  }
}

std::vector<agent_handle> agent_table::RemoveStale(steady_time now) {
  std::vector<agent_handle> removed;
  for (const auto& [handle, session] : sessions_) {
    if (!session->open() && now - session->last_heard() > kRemoveAfter) {
      removed.push_back(handle);
    }
  }
  for (const agent_handle handle : removed) {
    handles_.erase(sessions_.at(handle)->agent_id());
    announced_services_.erase(handle);
    sessions_.erase(handle);
  }
  std::erase_if(pools_, [now](const auto& entry) {
    const service_pool& pool = entry.second;
    return pool.waiting() == 0 && pool.minions().empty() &&
           pool.unavailable_since() &&
           now - *pool.unavailable_since() > kRemoveAfter;
  });
  return removed;
}

std::size_t agent_table::open_sessions() const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](const auto& entry) { return entry.second->open(); }));
}

std::size_t agent_table::connected() const {
  return static_cast<std::size_t>(std::count_if(
      sessions_.begin(), sessions_.end(),
      [](const auto& entry) { return entry.second->connected(); }));
}

}  // namespace jayrill
