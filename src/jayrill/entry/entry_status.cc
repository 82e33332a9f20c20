#include "jayrill/entry/entry_status.h"

#include <QtCore/QJsonArray>
#include <utility>

#include "jayrill/store/json_object.h"

namespace jayrill {
namespace {

// Version 14 of the linter sees using-declarations of literals as unused.
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace Qt::StringLiterals;

qint64 Number(std::uint64_t value) {
  return static_cast<qint64>(value);
}

/// Counts where a revision is in force.
struct force_count {
  config_revision wanted;
  qint64 in_force = 0;
  qint64 processes = 0;
  QJsonArray silent = {};

  void Add(bool heard, config_revision revision, const std::string& name) {
    ++processes;
    if (!heard) {
      silent.append(ToJsonText(name));
    } else if (revision >= wanted) {
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
          {u"revision"_s, Number(entry.revision.value)},
          {u"http"_s, ToJsonText(entry.http_address)},
          {u"rpc"_s, ToJsonText(entry.rpc_address)},
          {u"agents"_s, Number(entry.agents)},
          {u"agents_at_revision"_s, Number(entry.agents_at_revision)},
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
          {u"revision"_s, Number(minion.revision.value)},
          {u"service"_s, ToJsonText(minion.service)},
          {u"slots"_s, Number(minion.slots)},
          {u"busy"_s, Number(minion.busy)},
          {u"queued"_s, Number(minion.queued)},
          {u"outstanding"_s, Number(agent.outstanding)},
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
  force_count force{accepted};
  QJsonArray entries;
  for (entry_record entry : status.entries) {
    if (entry.id == status.id) {
      entry.revision = status.dispatch.revision;  // Newer than its record.
    }
    force.Add(true, entry.revision, "entry " + entry.id);
    entries.append(EntryJson(entry));
  }
  if (entries.isEmpty()) {
    force.Add(true, status.dispatch.revision, status.id);
  }
  QJsonArray agents;
  for (const agent_info& agent : status.dispatch.agents) {
    force.Add(agent.connected, agent.status.revision, "agent " + agent.id);
    agents.append(AgentJson(agent));
  }
  QJsonObject json{
      {u"id"_s, ToJsonText(status.id)},
      {u"data_centre"_s, ToJsonText(status.data_centre)},
      {u"revision"_s, Number(accepted.value)},
      {u"in_force"_s, force.in_force},
      {u"processes"_s, force.processes},
      {u"silent"_s, force.silent},
      {u"store"_s, status.store_reachable ? u"reachable"_s : u"unreachable"_s},
      {u"unconfirmed_since_ms"_s, QJsonValue()},
      {u"ready"_s, status.ready},
      {u"isolated"_s, status.dispatch.isolated},
      {u"draining"_s, status.dispatch.draining},
      {u"jobs"_s, Number(status.dispatch.jobs)},
      {u"waiting_tasks"_s, Number(status.dispatch.waiting_tasks)},
      {u"outstanding"_s, Number(status.dispatch.outstanding)},
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
                             entry_record fixed) {
  fixed.revision = status.revision;
  fixed.agents = 0;
  fixed.agents_at_revision = 0;
  fixed.silent_agents.clear();
  for (const agent_info& agent : status.agents) {
    if (!agent.connected) {
      fixed.silent_agents.push_back(agent.id);
      continue;
    }
    ++fixed.agents;
    if (agent.status.revision >= status.revision) {
      ++fixed.agents_at_revision;
    }
  }
  fixed.team_demand = status.team_demand;
  return fixed;
}

}  // namespace jayrill
