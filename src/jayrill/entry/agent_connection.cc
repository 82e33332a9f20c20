#include "jayrill/entry/agent_connection.h"

#include <glog/logging.h>

#include <iterator>
#include <utility>

#include "jayrill/entry/agent_server.h"
#include "jayrill/entry/entry_port_server.h"
#include "jayrill/rpc/batched_stream.h"
#include "jayrill/rpc/codec.h"
#include "jayrill/rpc/reader_limits.h"

namespace jayrill {

namespace {

/// Limit of start calls in flight to one agent. Further batches wait at the
/// entry, where a reconnect can still fence them.
constexpr std::size_t kMaxCallsInFlight = 16;

/// Limits of one batch in starts and payload bytes. Both keep a message far
/// below the size limit of its receiver.
constexpr std::size_t kMaxBatchStarts = 256;
constexpr std::size_t kMaxBatchBytes = std::size_t{4} << 20U;

/// Time limit for the calls identify and connect after the accept.
constexpr auto kHandshakeTimeout = 10 * kj::SECONDS;

/// Removes from \p batch the first part that fits into one message.
/// \returns that part.
start_batch TakePart(start_batch& batch) {
  std::size_t bytes = 0;
  std::size_t count = 0;
  while (count < batch.starts.size() && count < kMaxBatchStarts) {
    bytes += batch.starts[count].payload.size();
    if (count > 0 && bytes > kMaxBatchBytes) {
      break;
    }
    ++count;
  }
  start_batch part{batch.revision, batch.epoch, {}, batch.agent_time};
  const auto end = batch.starts.begin() + static_cast<std::ptrdiff_t>(count);
  part.starts.assign(std::make_move_iterator(batch.starts.begin()),
                     std::make_move_iterator(end));
  batch.starts.erase(batch.starts.begin(), end);
  return part;
}

}  // namespace

agent_connection::agent_connection(agent_server& server,
                                   kj::Own<kj::AsyncIoStream> stream)
    : server_(server),
      stream_(kj::heap<batched_stream>(kj::mv(stream))),
      network_(*stream_, capnp::rpc::twoparty::Side::SERVER, ReaderLimits()),
      rpc_(capnp::makeRpcServer(network_, kj::heap<entry_port_server>(*this))),
      calls_(*this) {
  // Calls in flight may together have twice the maximum size of a message.
  rpc_.setFlowLimit(2 * kMaxMessageWords);
}

agent_connection::~agent_connection() noexcept(false) {
  server_.OnClosed(*this);
}

kj::Promise<void> agent_connection::Run(kj::Timer& timer) {
  auto handshake = timer.afterDelay(kHandshakeTimeout).then([this]() {
    if (is_agent()) {
      return kj::Promise<void>(kj::NEVER_DONE);
    }
    LOG(WARNING) << "rpc: connection closed: no agent has completed the "
                    "handshake in time";
    return kj::Promise<void>(kj::READY_NOW);
  });
  return network_.onDisconnect()
      .exclusiveJoin(kj::mv(dropped_.promise))
      .exclusiveJoin(kj::mv(handshake));
}

void agent_connection::Drop() {
  dropped_.fulfiller->fulfill();
}

void agent_connection::AssignAgent(agent_handle agent,
                                   connection_id connection,
                                   wire::AgentPort::Client port) {
  agent_ = agent;
  id_ = connection;
  port_ = kj::mv(port);
  last_sent_ = server_.time().Now();
}

wire::AgentPort::Client& agent_connection::Port() {
  last_sent_ = server_.time().Now();
  return KJ_REQUIRE_NONNULL(port_, "the connection has no agent yet");
}

void agent_connection::SendStarts(start_batch batch) {
  while (!batch.starts.empty()) {
    pending_.push_back(TakePart(batch));
  }
  SendPending();
}

void agent_connection::SendPending() {
  while (!pending_.empty() && in_flight_ < kMaxCallsInFlight) {
    const start_batch batch = std::move(pending_.front());
    pending_.pop_front();
    auto request = Port().startRequest();
    auto wire = request.initBatch();
    wire.setRevision(batch.revision.value);
    wire.setEpoch(batch.epoch.value);
    wire.setAgentMicros(static_cast<std::uint64_t>(batch.agent_time.count()));
    auto starts = wire.initStarts(static_cast<unsigned>(batch.starts.size()));
    for (unsigned i = 0; i < starts.size(); ++i) {
      Encode(batch.starts[i], starts[i]);
    }
    ++in_flight_;
    calls_.add(request.send().ignoreResult().then([this]() {
      --in_flight_;
      SendPending();
    }));
  }
}

std::vector<start_number> agent_connection::DropPending(
    const std::set<start_number>& numbers) {
  std::vector<start_number> dropped;
  for (start_batch& batch : pending_) {
    std::erase_if(batch.starts, [&](const start_request& start) {
      if (!numbers.contains(start.number)) {
        return false;
      }
      dropped.push_back(start.number);
      return true;
    });
  }
  std::erase_if(pending_,
                [](const start_batch& batch) { return batch.starts.empty(); });
  return dropped;
}

std::vector<start_number> agent_connection::SendCancel(
    const std::vector<start_number>& numbers) {
  std::vector<start_number> dropped =
      DropPending({numbers.begin(), numbers.end()});
  if (dropped.size() == numbers.size()) {
    return dropped;
  }
  // The agent ignores the numbers of starts that it has not received.
  auto request = Port().cancelRequest();
  auto wire = request.initNumbers(static_cast<unsigned>(numbers.size()));
  for (unsigned i = 0; i < wire.size(); ++i) {
    wire.set(i, numbers[i].value);
  }
  calls_.add(request.send().ignoreResult());
  return dropped;
}

void agent_connection::SendConfig(config_revision revision,
                                  const std::string& packed,
                                  std::uint64_t push) {
  auto request = Port().configureRequest();
  auto wire = request.initConfig();
  wire.setRevision(revision.value);
  wire.setPacked(ToData(packed));
  calls_.add(request.send().then([this, push](auto&& response) {
    server_.OnConfigAcknowledged(*this, push,
                                 config_revision{response.getRevision()});
  }));
}

void agent_connection::SendHeartbeat(
    const std::vector<entry_endpoint>& entries) {
  auto request = Port().heartbeatRequest();
  Encode(entries, request.initEntries(static_cast<unsigned>(entries.size())));
  server_.WriteOutList(request.initOutList());
  calls_.add(request.send().ignoreResult());
}

void agent_connection::OnReportAnswered() {
  last_sent_ = server_.time().Now();
}

void agent_connection::taskFailed(kj::Exception&& exception) {
  if (exception.getType() != kj::Exception::Type::DISCONNECTED) {
    LOG(WARNING) << "rpc: a call to an agent failed: "
                 << exception.getDescription().cStr();
  }
  // When the agent reconnects, it reports the last start that it has
  // accepted.
  Drop();
}

}  // namespace jayrill
