#ifndef JAYRILL_AGENT_ENTRY_LINK_H_
#define JAYRILL_AGENT_ENTRY_LINK_H_

#include <kj/async-io.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/agent/agent_core.h"
#include "jayrill/agent/backoff.h"
#include "jayrill/agent/report_schedule.h"
#include "jayrill/base/random_source.h"
#include "jayrill/rpc/dispatch.capnp.h"

namespace jayrill {

namespace agent::internal {
struct entry_connection;
}  // namespace agent::internal

/// The agent's connection to one entry address: dials, opens or resumes the
/// session, takes starts and sends reports. Dials again when it is cut.
///
/// Lives on the kj thread.
class entry_link final : private kj::TaskSet::ErrorHandler {
 public:
  /// What all links of an agent share.
  struct context {
    const agent_settings& settings;
    const clock& time;
    incarnation self;
    kj::AsyncIoProvider& io;
    random_source& random;
    agent_core& core;
    /// Called when the entry has listed other addresses of entries.
    std::function<void()> on_addresses;
  };

  entry_link(std::string address, context& shared);
  ~entry_link();
  entry_link(const entry_link&) = delete;
  entry_link& operator=(const entry_link&) = delete;

  /// Dials until the link is destroyed.
  void Start();

  /// Closes the connection on a later turn of the event loop.
  void Drop(const std::string& reason);

  /// Reports in this turn of the event loop.
  void ScheduleReport();

  /// Reports a changed status, at once or when \p interval has passed since
  /// the last report.
  void OnStatusChanged(std::chrono::milliseconds interval);

  /// Sends the heartbeat and detects silence; called every kPauseTick.
  void Tick();

  /// Says goodbye; fulfilled when the entry has answered or is gone.
  kj::Promise<void> Goodbye();

  bool connected() const { return welcomed_; }
  incarnation entry() const { return entry_; }
  const std::vector<std::string>& listed() const { return listed_; }

  // Calls of the entry, from internal::agent_port. Calls with another serial
  // number than that of the current connection are ignored.
  void OnStart(std::uint64_t serial, wire::StartBatch::Reader batch);
  void OnCancel(std::uint64_t serial,
                capnp::List<std::uint64_t>::Reader numbers);
  config_revision OnConfigure(std::uint64_t serial,
                              wire::Config::Reader config);
  void OnHeartbeat(std::uint64_t serial,
                   capnp::List<capnp::Text>::Reader entries);

 private:
  kj::Promise<void> Run();
  kj::Promise<void> Attempt();
  kj::Promise<void> Handshake();
  kj::Promise<void> SendHello();
  void FillHello(wire::AgentHello::Builder hello, entry_session::opening open);
  void OnWelcome(wire::EntryWelcome::Reader welcome);
  void Close();
  void SendReport();
  bool ShallSendConfig(bool heartbeat) const;
  void OnAcknowledged(std::uint64_t serial,
                      const std::vector<start_number>& numbers,
                      std::chrono::milliseconds heartbeat,
                      std::chrono::milliseconds status_interval);
  void ReportStatusWhenDue();
  void SetListed(capnp::List<capnp::Text>::Reader entries);
  bool IsCurrent(std::uint64_t serial) const;
  bool Hear(std::uint64_t serial);
  void taskFailed(kj::Exception&& failure) override;

  const std::string address_;
  context& shared_;
  backoff backoff_;
  report_schedule schedule_;
  std::uint64_t serial_ = 0;
  bool welcomed_ = false;
  bool dropping_ = false;
  bool is_alias_ = false;  // The entry is connected through another address.
  bool report_scheduled_ = false;
  bool status_timer_set_ = false;
  bool config_wanted_ = false;
  std::uint32_t reports_in_flight_ = 0;
  incarnation entry_;
  connection_epoch epoch_;
  config_revision entry_revision_;  // Newest that the entry is known to have.
  std::vector<std::string> listed_;
  std::vector<start_batch> early_batches_;  // Arrived before the welcome.
  kj::Own<agent::internal::entry_connection> connection_;
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_ENTRY_LINK_H_
