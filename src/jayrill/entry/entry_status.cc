#include "jayrill/entry/entry_status.h"

#include <QtCore/QJsonArray>
#include <utility>

#include "jayrill/store/json_object.h"

namespace jayrill {
namespace {

// Version 14 of the linter sees using-declarations of literals as unused.
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace Qt::StringLiterals;

qint64 ToJsonNumber(std::uint64_t value) {
  return static_cast<qint64>(value);
}

/// Counts the processes in which a revision is in force and lists those that
/// are not connected.
struct in_force_count {
  config_revision expected_revision;
  qint64 in_force = 0;
  qint64 processes = 0;
  QJsonArray silent = {};

  void Add(bool is_connected,
           config_revision revision,
           const std::string& name) {
    ++processes;
    if (!is_connected) {
      silent.append(ToJsonText(name));
    } else if (revision >= expected_revision) {
      ++in_force;
    }
  }
};

QJsonObject EntryJson(const entry_record& entry) {
  QJsonArray silent;
  for (const std::string& agent : entry.silent_agents) {
    silent.append(ToJsonText(agent));
  }
  return {{u"id"_s, ToJsonText(entry.id)},
          {u"connected"_s, true},
          {u"revision"_s, ToJsonNumber(entry.revision.value)},
          {u"http"_s, ToJsonText(entry.http_address)},
          {u"rpc"_s, ToJsonText(entry.rpc_address)},
          {u"agents"_s, ToJsonNumber(entry.agents)},
          {u"agents_at_revision"_s, ToJsonNumber(entry.agents_at_revision)},
          {u"silent_agents"_s, silent}};
}

QJsonObject AgentJson(const agent_info& agent) {
  const minion_status& minion = agent.status;
  return {{u"id"_s, ToJsonText(agent.id)},
          {u"data_centre"_s, ToJsonText(agent.data_centre)},
          {u"worker"_s, ToJsonText(agent.worker)},
          {u"rack"_s, ToJsonText(agent.rack)},
          {u"connected"_s, agent.connected},
          {u"silent_for_ms"_s, qint64{agent.silent_for.count()}},
          {u"revision"_s, ToJsonNumber(minion.revision.value)},
          {u"service"_s, ToJsonText(minion.service)},
          {u"slots"_s, ToJsonNumber(minion.slots)},
          {u"busy"_s, ToJsonNumber(minion.busy)},
          {u"queued"_s, ToJsonNumber(minion.queued)},
          {u"outstanding"_s, ToJsonNumber(agent.outstanding)},
          {u"draining"_s, minion.draining}};
}

QJsonArray OutDataCentres(const cluster_config& config) {
  QJsonArray out;
  for (const auto& [name, state] : config.data_centres) {
    if (state.out) {
      out.append(ToJsonText(name));
    }
  }
  return out;
}

}  // namespace

QJsonObject ToJson(const entry_status& status) {
  const config_revision accepted =
      status.config ? status.config->revision : config_revision{};
  in_force_count counts{accepted};
  QJsonArray entries;
  for (entry_record entry : status.entries) {
    if (entry.id == status.id) {
      entry.revision = status.dispatch.revision;  // Newer than its record.
    }
    counts.Add(true, entry.revision, "entry " + entry.id);
    entries.append(EntryJson(entry));
  }
  if (entries.isEmpty()) {
    counts.Add(true, status.dispatch.revision, status.id);
  }
  QJsonArray agents;
  for (const agent_info& agent : status.dispatch.agents) {
    counts.Add(agent.connected, agent.status.revision, "agent " + agent.id);
    agents.append(AgentJson(agent));
  }
  QJsonObject json{
      {u"id"_s, ToJsonText(status.id)},
      {u"data_centre"_s, ToJsonText(status.data_centre)},
      {u"revision"_s, ToJsonNumber(accepted.value)},
      {u"in_force"_s, counts.in_force},
      {u"processes"_s, counts.processes},
      {u"silent"_s, counts.silent},
      {u"store"_s, status.store_reachable ? u"reachable"_s : u"unreachable"_s},
      {u"unconfirmed_since_ms"_s, QJsonValue()},
      {u"ready"_s, status.ready},
      {u"isolated"_s, status.dispatch.isolated},
      {u"draining"_s, status.dispatch.draining},
      {u"jobs"_s, ToJsonNumber(status.dispatch.jobs)},
      {u"waiting_tasks"_s, ToJsonNumber(status.dispatch.waiting_tasks)},
      {u"outstanding"_s, ToJsonNumber(status.dispatch.outstanding)},
      {u"entries"_s, entries},
      {u"agents"_s, agents}};
  if (status.config) {
    json.insert(u"data_centres_out"_s, OutDataCentres(*status.config));
  }
  if (status.unconfirmed_since) {
    json.insert(u"unconfirmed_since_ms"_s,
                qint64{status.unconfirmed_since->time_since_epoch().count()});
  }
  return json;
}

entry_record MakeEntryRecord(const dispatch_status& status,
                             entry_record record) {
  record.revision = status.revision;
  record.agents = 0;
  record.agents_at_revision = 0;
  record.silent_agents.clear();
  for (const agent_info& agent : status.agents) {
    if (!agent.connected) {
      record.silent_agents.push_back(agent.id);
      continue;
    }
    ++record.agents;
    if (agent.status.revision >= status.revision) {
      ++record.agents_at_revision;
    }
  }
  record.team_demand = status.team_demand;
  return record;
}

}  // namespace jayrill
