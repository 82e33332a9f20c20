#ifndef JAYRILL_AGENT_AGENT_PROCESS_H_
#define JAYRILL_AGENT_AGENT_PROCESS_H_

#include <QObject>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "jayrill/agent/agent_counters.h"
#include "jayrill/agent/agent_settings.h"
#include "jayrill/agent/announce_api.h"
#include "jayrill/agent/minion_client.h"
#include "jayrill/agent/minion_port.h"
#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/base/work_queue.h"
#include "jayrill/job/task_result.h"

namespace jayrill {

namespace agent::internal {
class agent_loop;
}  // namespace agent::internal

/// What an agent publishes about itself; for metrics and status.
struct agent_view {
  agent_counters counters;
  minion_status status;
  std::size_t connected_entries = 0;

  auto operator<=>(const agent_view&) const = default;
};

/// Parts of an agent that an adapter may replace.
struct agent_parts {
  /// Makes the port to the minion; empty: minion_client.
  std::function<std::unique_ptr<minion_port>(minion_port::listener)> minion;
  /// Adds the interface by which the minion announces itself; empty: none
  /// beside the one of jayrill.
  announce_api::route_adder announce_routes;
};

/// The agent role. Runs HTTP on the thread that creates it, which needs a Qt
/// event loop, and RPC on a thread of its own.
class agent_process final {
 public:
  agent_process(agent_settings settings,
                const clock& time,
                const agent_parts& parts = {});

  /// Ends at once unless the graceful stop has finished; tasks that run are
  /// then unknown to their entries.
  ~agent_process();
  agent_process(const agent_process&) = delete;
  agent_process& operator=(const agent_process&) = delete;

  /// Sets the function that is called on the Qt thread after a graceful stop.
  void OnStopped(std::function<void()> stopped) {
    stopped_ = std::move(stopped);
  }

  /// Sets the text of GET /metrics; by default the counters in text form.
  void SetMetrics(std::function<std::string()> text) {
    metrics_ = std::move(text);
  }

  /// Begins to listen and to dial.
  result<void> Start();

  /// Begins a graceful stop: queued starts are given back, running ones are
  /// finished and reported.
  void Stop();

  /// \returns the port of the announce API.
  std::uint16_t http_port() const { return api_.port(); }

  /// \returns the state at the last tick, at most 250 ms ago; from any thread.
  agent_view view() const;

 private:
  using agent_loop = agent::internal::agent_loop;

  void RunLoop();
  void PostToLoop(std::function<void(agent_loop&)> work);
  void PostToQt(std::function<void()> work);
  minion_port::listener ClientListener();
  announce_api::listener ApiListener();

  const agent_settings settings_;
  const clock& time_;
  std::function<void()> stopped_;
  std::function<std::string()> metrics_;
  std::optional<steady_time> left_at_;
  work_queue inbox_;
  agent_loop* loop_ = nullptr;  // Used on the kj thread only.
  mutable std::mutex view_mutex_;
  agent_view view_;
  std::unique_ptr<minion_port> client_;
  announce_api api_;
  std::thread thread_;
  QObject qt_context_;  // Receiver of queued calls; destroyed first.
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_AGENT_PROCESS_H_
