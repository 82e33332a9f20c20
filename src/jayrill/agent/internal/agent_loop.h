#ifndef JAYRILL_AGENT_INTERNAL_AGENT_LOOP_H_
#define JAYRILL_AGENT_INTERNAL_AGENT_LOOP_H_

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "jayrill/agent/agent_core.h"
#include "jayrill/agent/agent_process.h"
#include "jayrill/agent/entry_link.h"
#include "jayrill/base/work_queue.h"

namespace jayrill::agent::internal {

/// The event loop of the kj thread of an agent: owns the core and the links.
///
/// Created, run and destroyed on that thread. Other threads post to the inbox.
class agent_loop final : private agent_core::host,
                         private kj::TaskSet::ErrorHandler {
 public:
  /// Receives the calls of the minion, on the kj thread.
  using call_sink = std::function<void(task_call)>;
  /// Receives the numbers of calls to stop, on the kj thread.
  using stop_sink = std::function<void(std::uint64_t)>;
  /// Receives the state of the agent at each tick, on the kj thread.
  using view_sink = std::function<void(const agent_view&)>;

  agent_loop(const agent_settings& settings,
             const clock& time,
             work_queue& inbox,
             call_sink calls,
             stop_sink stops,
             view_sink views);
  ~agent_loop() noexcept override;

  /// Runs until Stop has finished or Abandon is called.
  void Run();

  /// Begins a graceful stop.
  void Stop();

  /// Ends Run at once.
  void Abandon();

  agent_core& core() { return core_; }

 private:
  std::size_t connected_links() const;
  void Call(task_call call) override { calls_(std::move(call)); }
  void StopCall(std::uint64_t call) override { stops_(call); }
  void ResultReady(incarnation entry) override;
  void StatusChanged() override;
  void PauseDetected() override;
  void taskFailed(kj::Exception&& failure) override;

  kj::Promise<void> ServeInbox();
  kj::Promise<void> ServeTicks();
  void FinishStop();
  void ScheduleDial();
  void DialEntries();

  const agent_settings& settings_;
  const clock& time_;
  work_queue& inbox_;
  call_sink calls_;
  stop_sink stops_;
  view_sink views_;
  random_source random_;
  kj::AsyncIoContext io_;
  kj::UnixEventPort::FdObserver observer_;
  agent_core core_;
  entry_link::context shared_;
  std::map<std::string, std::unique_ptr<entry_link>> links_;
  bool dial_scheduled_ = false;
  std::optional<steady_time> stop_began_;
  bool saying_goodbye_ = false;
  kj::Promise<void> ended_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> end_;
  kj::TaskSet tasks_;
};

}  // namespace jayrill::agent::internal

#endif  // JAYRILL_AGENT_INTERNAL_AGENT_LOOP_H_
