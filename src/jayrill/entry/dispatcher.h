#ifndef JAYRILL_ENTRY_DISPATCHER_H_
#define JAYRILL_ENTRY_DISPATCHER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/base/random_source.h"
#include "jayrill/entry/agent_table.h"
#include "jayrill/entry/config_trust.h"
#include "jayrill/entry/dispatch_counters.h"
#include "jayrill/entry/dispatch_output.h"
#include "jayrill/entry/dispatch_settings.h"
#include "jayrill/entry/job_table.h"
#include "jayrill/entry/refusal.h"
#include "jayrill/entry/task_placer.h"
#include "jayrill/placement/quota_ledger.h"
#include "jayrill/placement/retry_budget.h"
#include "jayrill/placement/speed_model.h"
#include "jayrill/placement/start_delay.h"
#include "jayrill/session/pause_detector.h"

namespace jayrill {

/// Longest time after its start for which an entry waits for its agents.
inline constexpr std::chrono::milliseconds kAgentSettle{1000};

/// The wait ends when no further agent has joined for this long: the first ones
/// would otherwise get all the work.
inline constexpr std::chrono::milliseconds kAgentQuiet{200};

/// Time for which the tasks of a service wait for a minion to appear.
inline constexpr std::chrono::milliseconds kNoMinionGrace{2000};

/// Interval at which dispatcher::Tick is called.
inline constexpr std::chrono::milliseconds kDispatchTick{50};

/// Admits jobs, places their tasks and decides their outcomes.
///
/// Belongs to one thread. Starts are sent by Flush, which is called once after
/// the events of an event-loop turn, so that they are batched. Tick must be
/// called every kDispatchTick and at NextDeadline.
class dispatcher {
 public:
  /// The answer to an agent that has connected.
  struct connect_reply {
    agent_handle agent;
    connection_id connection;
    bool resumed = false;
  };

  dispatcher(std::string data_centre,
             std::unique_ptr<placement_strategy> strategy,
             const clock& time,
             dispatch_output& output,
             dispatch_limits limits = {});

  // Events of the HTTP side; see dispatch_port.
  void Submit(job_id id, job_spec spec);
  void Cancel(job_id id);
  void OfferConfig(shared_config config);
  void ConfirmConfig();
  void SetTeamShares(const std::map<std::string, double>& shares);
  void Drain(std::function<void()> drained);
  dispatch_status Status();

  // Events of agents.
  result<connect_reply> Connect(const agent_hello& hello);
  void OnDisconnect(agent_handle agent, connection_id connection);
  /// \returns false when the connection is not the current one; the results
  /// are then not acknowledged.
  bool OnReport(agent_handle agent,
                connection_id connection,
                const std::vector<task_result>& results,
                const minion_status& status);
  void OnGoodbye(agent_handle agent, connection_id connection);
  void OnAgentConfig(shared_config config);
  void OnConfigAcknowledged(agent_handle agent,
                            std::uint64_t push,
                            config_revision revision);

  void Tick();
  void Flush();

  /// \returns the next moment at which Tick must be called.
  std::optional<steady_time> NextDeadline() const {
    return jobs_.NextDeadline();
  }

  const shared_config& config() const { return config_; }

  /// \returns true when jobs are taken: there is a configuration, and agents
  /// have had the time to connect.
  bool IsReady() const {
    return config_ != nullptr && IsSettled() &&
           agents_.connected() >= limits_.ready_agents;
  }

  /// \returns true when the entry is cut off and must start nothing.
  bool IsIsolated() const;
  dispatch_counters& counters() { return counters_; }
  std::size_t open_sessions() const { return agents_.open_sessions(); }

 private:
  using task_ref = start_window::task_ref;

  // Admission (dispatcher_jobs.cc).
  std::optional<refusal> Admit(const job_spec& spec);
  std::optional<refusal> AdmitToService(const job_spec& spec);
  /// Slots of a service weighted by speed, and the speed of the fastest.
  struct fleet_speed {
    double capacity = 0;
    double fastest = 0;
  };

  fleet_speed SpeedOf(const service_pool& pool,
                      const resource_amount& needs) const;
  std::chrono::microseconds IdealTime(const fleet_speed& fleet,
                                      std::chrono::microseconds longest,
                                      std::chrono::microseconds work) const;
  const profile& ProfileOf(const job_spec& spec) const;
  static std::chrono::microseconds Objective(const profile& goal,
                                             std::chrono::microseconds longest);
  std::optional<refusal> CheckObjective(const job_spec& spec,
                                        const service_pool& pool) const;
  bool HasFreeMinion(const service_pool& pool,
                     const resource_amount& needs) const;
  void SetObjective(job_record& job, std::chrono::microseconds longest);
  std::chrono::microseconds LowerBound(const job_spec& spec,
                                       const task_spec& task) const;
  void Enqueue(job_record& job);
  void Refuse(job_id id, const refusal& reason);
  void FailJob(job_id id, const refusal& reason);
  void OnDecided(job_record& job);
  void CancelOutstanding(job_record& job);
  void ReportOutcome(job_id id, const job_outcome& outcome);
  void CheckDrained();

  // Results of starts (dispatcher_results.cc).
  void OnResult(agent_session& session, const task_result& result);
  void EndTask(agent_session& session, task_ref task, const task_result& end);
  void EndStart(job_record& job, std::uint32_t index);
  bool MayRepeat(const job_record& job,
                 std::uint32_t index,
                 const task_result& end) const;
  void Retry(job_record& job, std::uint32_t index, const task_result& result);
  void Learn(const agent_session& session,
             const job_record& job,
             const task_result& result,
             std::uint32_t index);
  void EndAll(agent_session& session,
              const std::vector<task_ref>& tasks,
              task_outcome outcome,
              const std::string& message);
  void LoseSession(agent_session& session, const std::string& message);

  // Sending (dispatcher_sending.cc).
  bool MaySend() const;
  bool IsSettled() const;
  bool MayStart(const std::string& team, const service_pool& pool) const;
  void Send(const queued_task& task, agent_session& session);
  void Push(agent_session& session);
  void ApplyConfig(shared_config config);
  void CheckSessions();
  void CheckObstacles();
  void ExpireJobs();
  void OnPause();
  void GiveUpRepeatable();
  void BeginEvent();

  const clock& time_;
  dispatch_output& output_;
  const dispatch_limits limits_;
  steady_time started_;
  std::optional<steady_time> last_joined_;  ///< When an agent has connected.
  agent_table agents_;
  job_table jobs_;
  task_placer placer_;
  speed_model speeds_;
  quota_ledger teams_;
  quota_ledger profiles_;
  retry_budget retries_;
  std::map<std::string, start_delay, std::less<>> delays_;  ///< By profile.
  config_trust trust_;
  pause_detector pause_;
  shared_config config_;
  dispatch_counters counters_;
  std::uint64_t last_push_ = 0;
  std::uint64_t last_connection_ = 0;
  bool draining_ = false;
  std::vector<std::function<void()>> drained_;
  std::map<agent_handle, start_batch> outbox_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_DISPATCHER_H_
