#ifndef JAYRILL_ENTRY_AGENT_CONNECTION_H_
#define JAYRILL_ENTRY_AGENT_CONNECTION_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/entry/dispatch_output.h"
#include "jayrill/rpc/dispatch.capnp.h"

namespace jayrill {

class agent_server;

/// One TCP connection of an agent, from accept to close. Used on the kj thread
/// of its agent_server, which owns it through the promise of Run().
class agent_connection final : private kj::TaskSet::ErrorHandler {
 public:
  agent_connection(agent_server& server, kj::Own<kj::AsyncIoStream> stream);
  ~agent_connection() noexcept(false);
  KJ_DISALLOW_COPY(agent_connection);

  /// \returns a promise that resolves when the connection is closed or dropped,
  /// or when no agent has connected within the handshake timeout.
  kj::Promise<void> Run(kj::Timer& timer);

  /// Resolves the promise of Run(), which closes the connection.
  void Drop();

  /// Completes the handshake: this is the connection of \p agent, which is
  /// called through \p port.
  void AssignAgent(agent_handle agent,
                   connection_id connection,
                   wire::AgentPort::Client port);

  /// Queues \p batch and sends as much as the limit of calls in flight allows;
  /// the rest follows when earlier calls have been answered.
  void SendStarts(start_batch batch);

  /// Cancels the starts \p numbers. Those that still wait here are dropped; the
  /// agent never receives them.
  /// \returns the dropped ones.
  std::vector<start_number> SendCancel(
      const std::vector<start_number>& numbers);
  void SendConfig(config_revision revision,
                  const std::string& packed,
                  std::uint64_t push);
  void SendHeartbeat(const std::vector<entry_endpoint>& entries);

  /// Updates last_sent(): the reply to a report counts as a heartbeat.
  void OnReportAnswered();

  bool is_agent() const { return port_ != nullptr; }
  agent_handle agent() const { return agent_; }
  connection_id id() const { return id_; }
  /// \returns when the last message was sent to the agent.
  steady_time last_sent() const { return last_sent_; }
  agent_server& server() { return server_; }

 private:
  void taskFailed(kj::Exception&& exception) override;
  void SendPending();
  /// Removes those of \p numbers that still wait here.
  /// \returns the removed ones.
  std::vector<start_number> DropPending(const std::set<start_number>& numbers);
  /// \returns the capability of the agent. Updates last_sent(), since every
  /// caller sends a message.
  wire::AgentPort::Client& Port();

  agent_server& server_;
  kj::Own<kj::AsyncIoStream> stream_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
  kj::PromiseFulfillerPair<void> dropped_ = kj::newPromiseAndFulfiller<void>();
  kj::Maybe<wire::AgentPort::Client> port_;
  agent_handle agent_;
  connection_id id_;
  steady_time last_sent_;
  std::deque<start_batch> pending_;
  std::size_t in_flight_ = 0;
  kj::TaskSet calls_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_AGENT_CONNECTION_H_
