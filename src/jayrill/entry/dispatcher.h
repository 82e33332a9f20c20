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
#include "jayrill/base/log_limit.h"
#include "jayrill/base/random_source.h"
#include "jayrill/config/known_out_list.h"
#include "jayrill/entry/agent_table.h"
#include "jayrill/entry/crash_table.h"
#include "jayrill/entry/dispatch_counters.h"
#include "jayrill/entry/dispatch_output.h"
#include "jayrill/entry/dispatch_settings.h"
#include "jayrill/entry/isolation_detector.h"
#include "jayrill/entry/job_table.h"
#include "jayrill/entry/refusal.h"
#include "jayrill/entry/start_up/start_up_wait.h"
#include "jayrill/entry/task_placer.h"
#include "jayrill/placement/quota_ledger.h"
#include "jayrill/placement/retry_budget.h"
#include "jayrill/placement/speed_model.h"
#include "jayrill/placement/start_delay.h"
#include "jayrill/session/pause_detector.h"
#include "jayrill/session/retransmission_window.h"

namespace jayrill {

/// Time that the tasks of a service wait for a minion that may run them. Their
/// jobs fail afterwards.
inline constexpr std::chrono::milliseconds kNoMinionGracePeriod{2000};

/// Interval at which dispatcher::Tick is called.
inline constexpr std::chrono::milliseconds kDispatchTickInterval{50};

/// Admits jobs, places their tasks on minions, tracks the sessions with agents
/// and decides the outcome of each job.
///
/// All functions must be called on one thread. Starts are sent by Flush, which
/// is called once after the events of an event-loop turn, so that they are
/// batched. Tick must be called every kDispatchTickInterval and at
/// NextDeadline.
class dispatcher {
 public:
  /// The answer to an agent that has connected.
  struct connect_reply {
    agent_handle agent;
    connection_id connection;
    bool resumed = false;
    session_number session;
  };

  dispatcher(std::string data_centre,
             std::unique_ptr<placement_strategy> strategy,
             const clock& time,
             dispatch_output& output,
             dispatch_limits limits = {});

  // Events of the HTTP side; dispatch_port describes them.
  void Submit(job_id id, job_spec spec);
  void Cancel(job_id id);
  void OfferConfig(shared_config config);
  void ConfirmConfig();
  /// Adopts the data centres that get no starts if \p list is newer, whether
  /// the store or an agent has sent it. \p confirmed: the store held \p list
  /// then or later.
  void OfferOutList(out_list list, std::optional<steady_time> confirmed = {});

  void SetTeamShares(const std::map<std::string, double>& shares);
  void Drain(std::function<void()> drained);
  dispatch_status Status();

  // Events of agents.

  /// Opens or resumes the session of the agent.
  /// \returns an error when the agent has no id, or when its epoch is not newer
  /// than that of its current connection.
  result<connect_reply> Connect(const agent_hello& hello);
  void OnDisconnect(agent_handle agent, connection_id connection);

  /// Applies the results and the status that an agent reports.
  /// \returns false when the connection is not the current one; the results
  /// are then not acknowledged.
  bool OnReport(agent_handle agent,
                connection_id connection,
                const std::vector<task_result>& results,
                const minion_status& status,
                std::chrono::microseconds sent = {});

  /// The cancelled starts \p numbers were dropped before they were sent to
  /// \p agent.
  void OnStartsDropped(agent_handle agent,
                       const std::vector<start_number>& numbers);

  /// Closes the session of an agent that stops.
  void OnGoodbye(agent_handle agent, connection_id connection);

  /// Adopts a configuration from an agent if it is newer, and passes it on to
  /// dispatch_output::NewerConfig.
  void OnAgentConfig(shared_config config);
  void OnConfigAcknowledged(agent_handle agent,
                            std::uint64_t push,
                            config_revision revision);

  /// Detects lost sessions, jobs past their deadline and services without a
  /// usable minion, and applies the quota shares that are due.
  void Tick();

  /// Places waiting tasks and sends their starts.
  void Flush();

  /// \returns the next moment at which Tick must be called.
  std::optional<steady_time> NextDeadline() const {
    return jobs_.NextDeadline();
  }

  const shared_config& config() const { return config_; }
  const known_out_list& data_centres_out() const { return out_list_; }

  /// \returns true when the entry is ready for jobs: it has a configuration,
  /// the wait for agents is over and enough of them are connected.
  bool IsReady() const {
    // Called once a turn of the event loop, so the agents are counted only when
    // their number matters.
    return config_ != nullptr && start_up_.IsOver(time_.Now()) &&
           (limits_.ready_agents == 0 ||
            agents_.connected() >= limits_.ready_agents);
  }

  /// \returns true when the entry may have missed a change of the configuration
  /// and must send no starts.
  /// \sa isolation_detector
  bool IsIsolated() const;

  /// \returns until when requests may arrive that were held back while this
  /// entry was cut off.
  steady_time RetransmissionsUntil() const { return retransmissions_.until(); }

  dispatch_counters& counters() { return counters_; }
  std::size_t open_sessions() const { return agents_.open_sessions(); }

 private:
  using task_ref = start_window::task_ref;

  // Admission (dispatcher_jobs.cc).
  std::optional<refusal> Admit(const job_spec& spec);

  /// Checks \p spec against the state of its service.
  std::optional<refusal> AdmitToService(const job_spec& spec);

  /// Speed of the usable minions of a service; 1 is the average minion.
  struct fleet_speed {
    double capacity = 0;  ///< Sum of the slots, weighted by speed.
    double fastest = 0;
  };

  fleet_speed ComputeFleetSpeed(const service_pool& pool,
                                const resource_amount& needs) const;

  /// \returns the time that a job with \p work in all and \p longest as its
  /// longest task takes when it has all minions for itself.
  std::chrono::microseconds EstimateIdealTime(
      const fleet_speed& fleet,
      std::chrono::microseconds longest,
      std::chrono::microseconds work) const;
  const profile& ProfileOf(const job_spec& spec) const;

  /// \returns the time within which a job should end whose longest task takes
  /// \p longest.
  static std::chrono::microseconds LatencyObjective(
      const profile& job_profile,
      std::chrono::microseconds longest);

  /// \returns a refusal when the agents that have connected since the start of
  /// the entry can't end the job within its latency objective.
  std::optional<refusal> CheckStartUp(const job_spec& spec,
                                      const service_pool& pool) const;

  /// \returns a refusal when tasks of the profile wait too long at present to
  /// meet its latency objective.
  std::optional<refusal> CheckObjective(const job_spec& spec,
                                        const service_pool& pool) const;
  bool HasFreeMinion(const service_pool& pool,
                     const resource_amount& needs) const;

  /// Sets the latency objective of \p job, if its profile has one, and lets the
  /// job expire when an answer would be of no use any more.
  void SetObjective(job_record& job, std::chrono::microseconds longest);

  /// \returns the least time that \p task is assumed to run on the average
  /// minion.
  std::chrono::microseconds MinRunTime(const job_spec& spec,
                                       const task_spec& task) const;
  void Enqueue(job_record& job);
  void Refuse(job_id id, const refusal& reason);
  void FailJob(job_id id, const refusal& reason);

  /// Removes the waiting tasks of \p job, cancels its starts and reports its
  /// outcome.
  void OnDecided(job_record& job);
  void CancelOutstanding(job_record& job);
  /// Cancels the outstanding starts of decided jobs at agents that have
  /// connected again. An earlier cancel may have been lost with the connection.
  void RepeatCancels();
  void ReportOutcome(job_id id, const job_outcome& outcome);
  void CheckDrained();

  // Results of starts (dispatcher_results.cc).
  void OnResult(agent_session& session, const task_result& result);

  /// Ends the start of \p task with \p end: the task is finished or placed
  /// again, or its job is decided.
  void OnStartEnded(agent_session& session,
                    task_ref task,
                    const task_result& end);

  /// Clears the outstanding start of task \p index and frees its quota.
  void ReleaseStart(job_record& job, std::uint32_t index);

  /// \returns true when a run that ended with \p end may be repeated.
  bool MayRunAgain(const job_record& job,
                   std::uint32_t index,
                   const task_result& end) const;

  /// Queues task \p index again, or fails the job when the task has had all its
  /// starts or the retry budget is used up.
  void RetryOrFail(job_record& job,
                   std::uint32_t index,
                   const task_result& result);
  void LearnRunTime(const agent_session& session,
                    const job_record& job,
                    const task_result& result,
                    std::uint32_t index);

  // Tasks that crash minions (dispatcher_crashes.cc).

  /// Adds \p crashes and fails the jobs with a task that is given up since.
  void LearnCrashes(agent_handle agent, const std::vector<task_crash>& crashes);

  /// Fails \p job when one of its tasks is given up.
  /// \returns true when it was failed, and may have been removed.
  bool FailIfGivenUp(job_record& job);

  /// Ends the starts of all \p tasks with \p outcome and \p message.
  void EndStarts(agent_session& session,
                 const std::vector<task_ref>& tasks,
                 task_outcome outcome,
                 const std::string& message);

  /// Closes \p session; its starts without a result end as unknown.
  void CloseSession(agent_session& session, const std::string& message);

  // Sending (dispatcher_sending.cc).
  bool MaySend() const;

  /// \returns true when \p task may be started: always, once the wait for
  /// agents after the start of the entry is over.
  bool IsDue(const queued_task& task, steady_time now) const;

  /// Logs and counts the end of the wait for agents, once.
  void OnStartUpEnded();

  /// \returns true when the quota of \p team and the limit of the profile of
  /// the service allow one more running task.
  bool MayStart(const std::string& team, const service_pool& pool) const;

  /// Adds a start of \p task to the outbox.
  void QueueStart(const queued_task& task,
                  agent_session& session,
                  const task_placer::start_place& place);
  /// Counts the start of a task of \p job that depends on its rack.
  void CountNearStart(const job_record& job,
                      const task_placer::start_place& place);
  /// Sends the configuration to the agent of \p session if it has an older one.
  /// One is on its way at a time: an agent that is behind gets the newest one
  /// next, and not each one in between.
  void PushConfigIfNeeded(agent_session& session);
  void PushConfig(agent_session& session);
  void ApplyConfig(shared_config config);
  /// Applies out_list_ to the sessions of all agents.
  void ApplyOutList();
  /// Applies out_list_ to \p session.
  void ApplyService(agent_session& session, steady_time now);

  /// Disconnects silent agents, and closes sessions that stay disconnected.
  void CheckSessions();

  /// Fails the jobs of services that have had no usable minion for
  /// kNoMinionGracePeriod.
  void CheckServiceAvailability();
  void ExpireJobs();
  /// Cancels the starts of the jobs that are about to expire, where that tells
  /// their callers whether anything has run.
  /// \sa ShouldSettle
  void SettleJobs();
  /// Fails \p job, which settles, once the ends of all its starts are known.
  void FailIfSettled(job_record& job);
  void OnPause();

  /// Fails the jobs that their callers may have submitted to another entry
  /// while this one was paused.
  void FailRepeatableJobs();

  /// Logs where the starts of a failed \p job may still be at work: its caller
  /// may submit it again, and its tasks then run elsewhere.
  void LogOpenStarts(const job_record& job);

  /// Detects a pause of the process and expired jobs; every event calls it
  /// first.
  void BeginEvent();

  /// Detects that no agent was heard of for longer than usual.
  void UpdateRetransmissions();

  const clock& time_;
  dispatch_output& output_;
  const dispatch_limits limits_;
  steady_time started_;
  start_up_wait start_up_;
  bool is_start_up_over_ = false;  ///< OnStartUpEnded was called.
  agent_table agents_;
  job_table jobs_;
  crash_table crashes_;
  task_placer placer_;
  speed_model speed_model_;
  quota_ledger team_quotas_;
  quota_ledger profile_quotas_;  ///< By profile instead of by team.
  retry_budget retry_budget_;

  /// Recent waiting times of tasks, by profile.
  std::map<std::string, start_delay, std::less<>> start_delays_;
  isolation_detector isolation_detector_;
  retransmission_window retransmissions_;
  pause_detector pause_detector_;
  shared_config config_;
  known_out_list out_list_;
  dispatch_counters counters_;
  std::uint64_t last_push_ = 0;  ///< Number of the latest configuration push.
  std::uint64_t last_connection_ = 0;
  bool draining_ = false;
  std::vector<std::function<void()>> drain_callbacks_;
  std::map<agent_handle, start_batch> outbox_;  ///< Sent by Flush.
  std::set<agent_handle> cancels_due_;          ///< Agents for RepeatCancels.
  log_limit open_starts_log_;
  log_limit near_wait_log_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_DISPATCHER_H_
