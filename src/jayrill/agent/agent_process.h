#ifndef JAYRILL_AGENT_AGENT_PROCESS_H_
#define JAYRILL_AGENT_AGENT_PROCESS_H_

#include <QObject>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "jayrill/agent/agent_counters.h"
#include "jayrill/agent/agent_settings.h"
#include "jayrill/agent/announce_api.h"
#include "jayrill/agent/entry_search.h"
#include "jayrill/agent/minion_admission.h"
#include "jayrill/agent/minion_client.h"
#include "jayrill/agent/minion_departure.h"
#include "jayrill/agent/minion_port.h"
#include "jayrill/agent/out_list_refresh.h"
#include "jayrill/agent/room_share.h"
#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/base/log_limit.h"
#include "jayrill/base/work_queue.h"
#include "jayrill/job/task_result.h"
#include "jayrill/store/scheduler.h"

namespace jayrill {

namespace agent::internal {
class agent_loop;
}  // namespace agent::internal

/// Snapshot of an agent for metrics and status.
struct agent_view {
  agent_counters counters;
  minion_status status;
  std::size_t connected_entries = 0;
  /// Announcements that were malformed, late, or not of a minion that answers.
  std::uint64_t ignored_announcements = 0;
  std::map<std::string, queue_usage> queues;

  auto operator<=>(const agent_view&) const = default;
};

/// Parts of an agent that an adapter may replace.
struct agent_overrides {
  /// Creates the port to the minion; empty: a minion_client is created.
  std::function<std::unique_ptr<minion_port>(minion_port::listener)> minion;
  /// Adds HTTP routes by which the minion announces itself, besides the routes
  /// of announce_api; empty: adds none.
  announce_api::route_adder announce_routes;
  /// Where entries are looked up while too few are connected; null: nowhere.
  entry_directory* directory = nullptr;
  /// Needed with a directory; runs on the Qt thread.
  scheduler* timers = nullptr;
  /// Reads the data centres that are out while no entry confirms them; null:
  /// they can't be read. Used on the Qt thread.
  out_list_reader* out_lists = nullptr;
};

/// Runs an agent: the HTTP side (announce API and calls of the minion) and the
/// RPC side (connections to the entries).
///
/// HTTP runs on the thread that creates the object, which needs a Qt event
/// loop. RPC runs on a kj thread of its own, created by Start. The two sides
/// exchange work through queues. Functions are called on the Qt thread; only
/// view() may be called from any thread.
class agent_process final {
 public:
  agent_process(agent_settings settings,
                const clock& time,
                const agent_overrides& overrides = {});

  /// Stops at once, without waiting for a graceful stop. The entries do not
  /// learn the outcomes of tasks that still run.
  ~agent_process();
  agent_process(const agent_process&) = delete;
  agent_process& operator=(const agent_process&) = delete;

  /// Sets the function that is called on the Qt thread after a graceful stop.
  void OnStopped(std::function<void()> stopped) {
    on_stopped_ = std::move(stopped);
  }

  /// Sets the function that makes the text of GET /metrics. By default it is
  /// view() in the text exposition format.
  void SetMetrics(std::function<std::string()> text) {
    metrics_text_ = std::move(text);
  }

  /// Listens on the announce API and starts the thread that dials the entries.
  result<void> Start();

  /// Begins a graceful stop: queued starts are returned to their entries as not
  /// run, running tasks finish and are reported.
  void Stop();

  /// \returns the port of the announce API.
  std::uint16_t http_port() const { return api_.port(); }

  /// \returns the state at the last tick of the RPC side. Ticks come every
  /// kPauseTick.
  agent_view view() const;

 private:
  using agent_loop = agent::internal::agent_loop;

  void RunLoop();
  /// Keeps \p current for view() and tells the search of entries how many are
  /// connected. Called on the kj thread.
  void OnView(const agent_view& current);
  /// Reads the data centres that are out for the kj thread, which calls this.
  void ReadOutList(std::chrono::milliseconds limit);
  void PostToLoop(std::function<void(agent_loop&)> work);
  void PostToQt(std::function<void()> work);
  minion_port::listener MinionListener();
  announce_api::listener AnnounceListener();
  minion_admission::host AdmissionHost();
  void OnAccepted(announcement minion);
  /// \returns the number of tasks that still run.
  std::uint32_t OnLeave(const std::string& instance);
  /// Counts and logs an announcement or notice of leaving without effect.
  void OnIgnored(const std::string& detail);

  const agent_settings settings_;
  const clock& time_;
  minion_departure departure_;
  out_list_reader* const out_lists_;  ///< May be null.
  std::function<void()> on_stopped_;
  std::function<std::string()> metrics_text_;
  work_queue inbox_;            // Work for the kj thread.
  agent_loop* loop_ = nullptr;  // Used on the kj thread only.
  mutable std::mutex view_mutex_;
  agent_view view_;
  std::atomic<std::uint64_t> ignored_announcements_ = 0;
  log_limit ignored_log_limit_;
  minion_admission admission_;
  std::unique_ptr<minion_port> minion_port_;
  announce_api api_;
  std::optional<entry_search> entry_search_;
  std::thread thread_;
  callback_guard guard_;
  // Context of the calls that PostToQt queues. Destroyed first, so that no
  // queued call runs on destroyed members.
  QObject qt_context_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_AGENT_PROCESS_H_
