#ifndef JAYRILL_ENTRY_ENTRY_PORT_SERVER_H_
#define JAYRILL_ENTRY_ENTRY_PORT_SERVER_H_

#include "jayrill/rpc/dispatch.capnp.h"

namespace jayrill {

class agent_connection;

// The server classes of Cap'n Proto have no virtual destructor. They are
// destroyed through the disposer of kj::Own, which knows the concrete type.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// The bootstrap capability of a connection, which serves the handshake of an
/// agent.
class entry_port_server final : public wire::EntryPort::Server {
 public:
  explicit entry_port_server(agent_connection& connection)
      : connection_(connection) {}

  /// Returns the id, incarnation and protocol version of the entry.
  kj::Promise<void> identify(IdentifyContext context) override;
  /// Registers the agent with the dispatcher and returns its session. Fails if
  /// the protocol versions differ.
  kj::Promise<void> connect(ConnectContext context) override;

 private:
  agent_connection& connection_;
};

/// The session capability of a connected agent.
class entry_session_server final : public wire::EntrySession::Server {
 public:
  explicit entry_session_server(agent_connection& connection)
      : connection_(connection) {}

  /// Passes results and status to the dispatcher. Fails if the agent has a
  /// newer connection.
  kj::Promise<void> report(ReportContext context) override;
  /// Closes the session, since the agent stops.
  kj::Promise<void> goodbye(GoodbyeContext context) override;

 private:
  agent_connection& connection_;
};

#pragma GCC diagnostic pop

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_ENTRY_PORT_SERVER_H_
