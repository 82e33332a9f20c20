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
#include "jayrill/config/out_list.h"
#include "jayrill/rpc/codec.h"
#include "jayrill/rpc/dispatch.capnp.h"
#include "jayrill/rpc/entry_endpoint.h"

namespace jayrill {

namespace agent::internal {
struct entry_connection;
}  // namespace agent::internal

/// The agent's connection to one entry address: dials, opens or resumes the
/// session, receives starts and sends reports. Dials again, with a backoff,
/// when the connection ends.
///
/// All functions are called on the kj thread. Calls of the entry may arrive
/// after their connection has ended, so each carries the serial number of its
/// connection.
class entry_link final : private kj::TaskSet::ErrorHandler {
 public:
  /// Objects that all links of an agent share; they outlive the links.
  struct context {
    const agent_settings& settings;
    const clock& time;
    incarnation self;
    kj::AsyncIoProvider& io;
    random_source& random;
    agent_core& core;
    /// Called when an entry has sent a changed list of entries.
    std::function<void()> on_addresses_changed;
  };

  entry_link(std::string address, context& shared);
  ~entry_link();
  entry_link(const entry_link&) = delete;
  entry_link& operator=(const entry_link&) = delete;

  /// Begins to dial; redials after each end of the connection until the link
  /// is destroyed.
  void Start();

  /// Closes the connection on a later turn of the event loop; the link then
  /// dials again. \p reason goes to the log.
  void Drop(const std::string& reason);

  /// Sends a report at the end of this turn of the event loop, so that all
  /// results of the turn share it.
  void ScheduleReport();

  /// Sends a report whose answer confirms the data centres that are out. It
  /// does not put off the next status or heartbeat.
  void AskForOutList();

  /// Reports a changed status, at once or when \p interval (longer if the entry
  /// has asked for it) has passed since the last report.
  void OnStatusChanged(std::chrono::milliseconds interval);

  /// Sends the heartbeat when it is due and drops the connection when the entry
  /// is silent. Called every kPauseTick.
  void Tick();

  /// Tells the entry that the agent stops. The promise is fulfilled when the
  /// entry has answered or the call has failed.
  kj::Promise<void> SendGoodbye();

  /// \returns true when the handshake of the current connection is complete.
  bool connected() const { return handshake_done_; }
  /// \returns the incarnation of the connected entry; 0: none.
  incarnation entry() const { return entry_; }
  /// \returns the entries that the entry has sent last.
  const std::vector<entry_endpoint>& listed_entries() const {
    return listed_entries_;
  }

  /// Reports at once when the agent has learnt of other data centres that are
  /// out than the entry knows of.
  void OnOutListChanged();

  /// Tells the entry to send no further starts, because the agent is about to
  /// close this link, or takes that back.
  void SetRetiring(bool retiring);

  /// \returns true when a retiring link can be closed: the entry knows that it
  /// must send no starts, and none of them is left.
  bool IsRetired() const;

  // Calls of the entry, forwarded by internal::agent_port. A call whose serial
  // number is not that of the current connection is ignored.
  /// \returns a promise for the answer to the call. It is fulfilled with the
  /// next report, so that both are sent together and wake the entry once.
  kj::Promise<void> OnStart(std::uint64_t serial,
                            wire::StartBatch::Reader batch);
  void OnCancel(std::uint64_t serial,
                capnp::List<std::uint64_t>::Reader numbers);
  config_revision OnConfigure(std::uint64_t serial,
                              wire::Config::Reader config);
  void OnHeartbeat(std::uint64_t serial,
                   capnp::List<wire::EntryEndpoint>::Reader entries,
                   wire::OutList::Reader list);

 private:
  kj::Promise<void> ConnectLoop();
  kj::Promise<void> ConnectOnce();
  kj::Promise<void> Handshake();
  kj::Promise<void> SendHello();
  void FillHello(wire::AgentHello::Builder hello, entry_session::opening open);
  void OnWelcome(wire::EntryWelcome::Reader welcome);
  void Close();
  void SendReport();
  bool ShouldSendConfig(bool heartbeat) const;
  /// \returns true when the agent knows a newer list of the data centres that
  /// are out than the entry, with other ones.
  bool ShouldSendOutList() const;
  /// Takes over a list that the entry has sent. \p asked: the entry made it
  /// then or later; nothing when that is not known.
  void OnOutList(const aged_out_list& aged, std::optional<steady_time> asked);
  void OnAcknowledged(std::uint64_t serial,
                      const std::vector<start_number>& numbers,
                      steady_time sent,
                      bool told_retirement,
                      std::chrono::milliseconds callers_lag,
                      std::chrono::milliseconds heartbeat,
                      std::chrono::milliseconds status_interval,
                      const aged_out_list& list);
  /// Sends the answers to start calls and the ends of report calls that were
  /// kept back for the next report.
  void ReleaseHeldMessages();
  void ReportStatusWhenDue();
  void SetListedEntries(capnp::List<wire::EntryEndpoint>::Reader entries);
  bool IsCurrent(std::uint64_t serial) const;
  /// Records that the entry has sent a call or a response. For the silence of
  /// the entry only messages count that say when it was alive: the answers to
  /// the hello and to reports, and starts.
  /// \returns false when the message must be ignored: it belongs to an earlier
  /// connection, or the connection is being dropped.
  bool OnMessage(std::uint64_t serial);
  void taskFailed(kj::Exception&& failure) override;

  const std::string address_;
  context& context_;
  backoff backoff_;
  report_schedule schedule_;
  std::uint64_t serial_ = 0;     // Of the current connection.
  bool handshake_done_ = false;  // The entry has answered connect.
  bool dropping_ = false;
  bool is_alias_ = false;  // The agent already has a link to this entry.
  bool report_scheduled_ = false;
  bool report_is_question_ = false;  // That of AskForOutList.
  bool status_timer_set_ = false;
  bool retiring_ = false;
  bool retirement_acknowledged_ = false;  // By the answer to a report.
  bool config_due_ = false;  // The entry works with an older configuration.
  std::uint32_t reports_in_flight_ = 0;
  incarnation entry_;
  connection_epoch epoch_;
  steady_time hello_sent_at_;
  config_revision entry_revision_;  // Last that the entry sent or was sent.
  out_list entry_out_list_;         // Last that the entry sent or was sent.
  std::vector<entry_endpoint> listed_entries_;
  // Batches, and numbers of cancelled starts, that arrived before the response
  // to connect.
  std::vector<start_batch> early_batches_;
  std::vector<start_number> early_cancels_;
  kj::Own<agent::internal::entry_connection> connection_;
  kj::Vector<kj::Own<kj::PromiseFulfiller<void>>> held_answers_;
  // Cap'n Proto ends a call when its response is destroyed.
  kj::Vector<capnp::Response<wire::EntrySession::ReportResults>>
      held_responses_;
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_ENTRY_LINK_H_
