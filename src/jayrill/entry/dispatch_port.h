#ifndef JAYRILL_ENTRY_DISPATCH_PORT_H_
#define JAYRILL_ENTRY_DISPATCH_PORT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/ids.h"
#include "jayrill/config/cluster_config.h"
#include "jayrill/config/out_list.h"
#include "jayrill/entry/dispatch_counters.h"
#include "jayrill/job/job_outcome.h"
#include "jayrill/job/job_spec.h"
#include "jayrill/job/task_result.h"
#include "jayrill/rpc/entry_endpoint.h"

namespace jayrill {

/// A configuration that several threads share.
using shared_config = std::shared_ptr<const cluster_config>;

/// What the dispatcher knows of one agent; for status and membership.
struct agent_info {
  std::string id;
  std::string data_centre;
  std::string worker;
  std::string rack;
  bool connected = false;
  std::chrono::milliseconds silent_for{};
  minion_status status;
  std::uint32_t outstanding = 0;  ///< Starts of this entry.

  auto operator<=>(const agent_info&) const = default;
};

/// State of the dispatcher at one moment.
struct dispatch_status {
  config_revision revision;  ///< In force at this entry.
  bool isolated = false;
  bool draining = false;
  /// Has a configuration, has waited for agents and enough are connected.
  bool ready = false;
  std::uint64_t jobs = 0;           ///< Admitted and not decided.
  std::uint64_t waiting_tasks = 0;  ///< In the entry's queue.
  std::uint64_t outstanding = 0;    ///< Sent to agents.
  std::map<std::string, std::uint32_t> team_demand;  ///< Waiting and sent.
  std::vector<agent_info> agents;
  dispatch_counters counters;

  auto operator<=>(const dispatch_status&) const = default;
};

/// Interface through which the HTTP thread of an entry uses the dispatcher.
///
/// All functions may be called from any thread and return at once. Callbacks
/// run on the dispatcher thread; a caller on another thread has to post them to
/// its own.
class dispatch_port {
 public:
  using outcome_callback = std::function<void(job_outcome)>;

  virtual ~dispatch_port() = default;

  /// Runs \p spec. \p done is called exactly once, by the deadline of the job
  /// at the latest. A refusal is passed to it as a job_failure.
  virtual void Submit(job_id id, job_spec spec, outcome_callback done) = 0;

  /// Cancels the job \p id, whose caller has gone away. Its waiting tasks are
  /// removed. \p done of Submit is still called.
  virtual void Cancel(job_id id) = 0;

  /// Offers a configuration; ignored unless it is newer. It is pushed to every
  /// agent.
  virtual void OfferConfig(shared_config config) = 0;

  /// Called when the store has just confirmed that the configuration is
  /// current.
  virtual void ConfirmConfig() = 0;

  /// Sets the list of all live entries and passes it to the agents.
  virtual void SetEntries(std::vector<entry_endpoint> entries) = 0;

  /// Offers the data centres that get no starts; ignored if a newer list is
  /// known. The store held \p list at \p confirmed or later.
  virtual void OfferOutList(out_list list, steady_time confirmed) = 0;

  /// Sets this entry's share of each team's quota, 0 to 1.
  virtual void SetTeamShares(std::map<std::string, double> shares) = 0;

  /// Sets the listener that is called when an agent sends a configuration that
  /// is newer than this entry's own.
  virtual void OnNewerConfig(std::function<void(shared_config)> listener) = 0;

  /// Passes the state of the dispatcher to \p done.
  virtual void GetStatus(std::function<void(dispatch_status)> done) = 0;

  /// Refuses new jobs as not run from now on, and calls \p drained when every
  /// admitted job is decided and its caller was told.
  virtual void Drain(std::function<void()> drained) = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_DISPATCH_PORT_H_
