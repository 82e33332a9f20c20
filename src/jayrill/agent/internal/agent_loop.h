#ifndef JAYRILL_AGENT_INTERNAL_AGENT_LOOP_H_
#define JAYRILL_AGENT_INTERNAL_AGENT_LOOP_H_

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "jayrill/agent/agent_core.h"
#include "jayrill/agent/agent_process.h"
#include "jayrill/agent/entry_link.h"
#include "jayrill/agent/out_list_refresh.h"
#include "jayrill/base/log_limit.h"
#include "jayrill/base/work_queue.h"

namespace jayrill::agent::internal {

/// The kj event loop of an agent: owns the agent_core and one link per entry
/// address, and drives both by timers and by the inbox.
///
/// Created, run and destroyed on the kj thread. Other threads post to the
/// inbox.
class agent_loop final : private agent_core::host,
                         private kj::TaskSet::ErrorHandler {
 public:
  /// Receives each call that is to be sent to the minion, on the kj thread.
  using call_sink = std::function<void(task_call)>;
  /// Receives the id of each call that is to be stopped, on the kj thread.
  using stop_sink = std::function<void(std::uint64_t)>;
  /// Receives the state of the agent at each tick, on the kj thread.
  using view_sink = std::function<void(const agent_view&)>;
  /// Reads the data centres that are out within the limit; OnOutListRead must
  /// follow. Called on the kj thread.
  using out_list_source = std::function<void(std::chrono::milliseconds)>;

  struct output {
    call_sink on_call;
    stop_sink on_stop_call;
    view_sink on_view;
    out_list_source read_out_list;  ///< Empty: the store can't be read.
  };

  agent_loop(const agent_settings& settings,
             const clock& time,
             work_queue& inbox,
             output sinks);
  ~agent_loop() noexcept override;

  /// Runs until the graceful stop has finished or StopNow is called.
  void Run();

  /// Begins a graceful stop, which ends Run when the core is drained or
  /// agent_settings::stop_limit has passed.
  void Stop();

  /// Makes Run return without a graceful stop.
  void StopNow();

  /// Makes use of what was found while too few entries are connected.
  void OnEntriesFound(const found_entries& found);

  /// A read of the data centres that are out has ended with \p read.
  void OnOutListRead(const result<out_list>& read);

  agent_core& core() { return core_; }

 private:
  std::size_t connected_links() const;
  void Call(task_call call) override { output_.on_call(std::move(call)); }
  void StopCall(std::uint64_t call) override { output_.on_stop_call(call); }
  void ResultReady(incarnation entry) override;
  void StatusChanged() override;
  void PauseDetected() override;
  void taskFailed(kj::Exception&& failure) override;

  kj::Promise<void> ServeInbox();
  kj::Promise<void> ServeTicks();
  /// Sends goodbye to the entries and ends Run, once the core is drained or
  /// agent_settings::stop_limit has passed. Called at each tick of a graceful
  /// stop.
  void FinishStop();
  void ScheduleLinkUpdate();
  /// Reads the data centres that are out when that is due.
  void RefreshOutList();
  /// Asks one entry to confirm the data centres that are out, the next one
  /// each time.
  void AskNextEntry();
  /// Makes the core check its waiting starts after kWaitCheckInterval.
  void ScheduleWaitCheck();
  /// \returns the addresses of the entries to connect to: those that
  /// SelectEntries chooses of the candidates, and the entries from the settings
  /// while there are few entries or too few are connected.
  std::set<std::string> WantedEntries();
  /// \returns the entries to choose from, by address: those that connected
  /// entries have listed last. While too few are connected, those that were
  /// found as well, and without a connection these alone.
  std::map<std::string, entry_endpoint> CandidateEntries();
  /// Adds links to wanted entries, and retires the others.
  void UpdateLinks();
  /// Closes the links that are retired and have no work left.
  void CloseRetiredLinks();

  const agent_settings& settings_;
  const clock& time_;
  work_queue& inbox_;
  output output_;
  random_source random_;
  kj::AsyncIoContext io_;
  kj::UnixEventPort::FdObserver inbox_observer_;
  agent_core core_;
  out_list_refresh out_list_refresh_;
  log_limit out_list_log_limit_;
  std::string entry_asked_;  ///< Address of the entry that was asked last.
  entry_link::context link_context_;
  std::map<std::string, std::unique_ptr<entry_link>> links_;
  /// The entries that connected entries have listed last, by address.
  std::map<std::string, entry_endpoint> known_entries_;
  /// The entries that were found last while too few were connected.
  std::map<std::string, entry_endpoint> found_entries_;
  /// Entries from the settings, as they were read last.
  std::vector<std::string> seeds_;
  std::set<std::string> closing_links_;  ///< Links that have sent goodbye.
  std::set<std::string> closed_links_;   ///< Those whose goodbye was answered.
  std::size_t links_at_last_tick_ = 0;   ///< How many were connected.
  bool link_update_scheduled_ = false;
  bool wait_check_scheduled_ = false;
  std::optional<steady_time> stop_started_at_;
  bool saying_goodbye_ = false;
  kj::Promise<void> end_promise_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> end_fulfiller_;
  kj::TaskSet tasks_;
};

}  // namespace jayrill::agent::internal

#endif  // JAYRILL_AGENT_INTERNAL_AGENT_LOOP_H_
