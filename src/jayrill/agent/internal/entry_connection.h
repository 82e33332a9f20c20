#ifndef JAYRILL_AGENT_INTERNAL_ENTRY_CONNECTION_H_
#define JAYRILL_AGENT_INTERNAL_ENTRY_CONNECTION_H_

#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "jayrill/rpc/batched_stream.h"
#include "jayrill/rpc/dispatch.capnp.h"
#include "jayrill/rpc/reader_limits.h"

namespace jayrill::agent::internal {

/// One RPC connection to an entry. The order of the members matters: they are
/// destroyed in reverse, pending calls first and the stream last.
struct entry_connection {
  entry_connection(kj::Own<kj::AsyncIoStream> opened,
                   kj::TaskSet::ErrorHandler& errors)
      : stream(kj::heap<batched_stream>(kj::mv(opened))),
        network(*stream, capnp::rpc::twoparty::Side::CLIENT, ReaderLimits()),
        rpc(capnp::makeRpcClient(network)),
        entry(Bootstrap()),
        session(nullptr),
        tasks(errors) {
    auto paf = kj::newPromiseAndFulfiller<void>();
    dropped = kj::mv(paf.promise);
    drop_fulfiller = kj::mv(paf.fulfiller);
  }

  /// \returns the bootstrap capability of the entry.
  wire::EntryPort::Client Bootstrap() {
    capnp::MallocMessageBuilder message;
    auto id = message.initRoot<capnp::rpc::twoparty::VatId>();
    id.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(id).castAs<wire::EntryPort>();
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  wire::EntryPort::Client entry;
  wire::EntrySession::Client session;
  // Fulfilled through drop_fulfiller when the agent drops the connection.
  kj::Promise<void> dropped = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> drop_fulfiller;
  kj::TaskSet tasks;
};

}  // namespace jayrill::agent::internal

#endif  // JAYRILL_AGENT_INTERNAL_ENTRY_CONNECTION_H_
