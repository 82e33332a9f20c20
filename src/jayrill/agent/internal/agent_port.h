#ifndef JAYRILL_AGENT_INTERNAL_AGENT_PORT_H_
#define JAYRILL_AGENT_INTERNAL_AGENT_PORT_H_

#include <cstdint>

#include "jayrill/agent/entry_link.h"
#include "jayrill/rpc/dispatch.capnp.h"

namespace jayrill::agent::internal {

// The generated class has a non-virtual destructor, which is safe: kj deletes
// the object as its exact type.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// Capability by which an entry calls the agent on one connection. Forwards the
/// calls to the link with the serial number of the connection.
class agent_port final : public wire::AgentPort::Server {
 public:
  agent_port(entry_link& link, std::uint64_t serial)
      : link_(link), serial_(serial) {}

 protected:
  kj::Promise<void> start(StartContext context) override {
    return link_.OnStart(serial_, context.getParams().getBatch());
  }
  kj::Promise<void> cancel(CancelContext context) override {
    link_.OnCancel(serial_, context.getParams().getNumbers());
    return kj::READY_NOW;
  }
  kj::Promise<void> configure(ConfigureContext context) override {
    const config_revision revision =
        link_.OnConfigure(serial_, context.getParams().getConfig());
    context.getResults().setRevision(revision.value);
    return kj::READY_NOW;
  }
  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    const auto params = context.getParams();
    link_.OnHeartbeat(serial_, params.getEntries(), params.getOutList());
    return kj::READY_NOW;
  }

 private:
  entry_link& link_;
  const std::uint64_t serial_;
};

#pragma GCC diagnostic pop

}  // namespace jayrill::agent::internal

#endif  // JAYRILL_AGENT_INTERNAL_AGENT_PORT_H_
