#include "jayrill/entry/entry_port_server.h"

#include <utility>
#include <vector>

#include "jayrill/entry/agent_connection.h"
#include "jayrill/entry/agent_server.h"
#include "jayrill/entry/heartbeat.h"
#include "jayrill/rpc/codec.h"

namespace jayrill {

namespace {

agent_hello DecodeHello(wire::AgentHello::Reader wire) {
  agent_hello hello;
  hello.agent_id = ToString(wire.getAgentId());
  hello.process = incarnation{wire.getIncarnation()};
  hello.data_centre = ToString(wire.getDataCentre());
  hello.worker = ToString(wire.getWorker());
  hello.rack = ToString(wire.getRack());
  hello.epoch = connection_epoch{wire.getEpoch()};
  hello.last_accepted = start_number{wire.getLastAccepted()};
  hello.status = Decode(wire.getStatus());
  hello.session = session_number{wire.getSession()};
  hello.sent = DecodeClock(wire.getSentMicros());
  return hello;
}

}  // namespace

kj::Promise<void> entry_port_server::identify(IdentifyContext context) {
  const agent_server& server = connection_.server();
  auto entry = context.getResults().initEntry();
  entry.setId(server.settings().entry_id);
  entry.setIncarnation(server.settings().entry.value);
  entry.setProtocolVersion(kProtocolVersion);
  return kj::READY_NOW;
}

kj::Promise<void> entry_port_server::connect(ConnectContext context) {
  agent_server& server = connection_.server();
  const auto wire_hello = context.getParams().getHello();
  KJ_REQUIRE(!connection_.is_agent(), "the connection has an agent already");
  KJ_REQUIRE(wire_hello.getProtocolVersion() == kProtocolVersion,
             "the agent and the entry have different protocol versions");
  server.OnAgentConfig(wire_hello.getConfig());
  server.OnAgentOutList(wire_hello.getOutList());
  const auto reply = server.core().Connect(DecodeHello(wire_hello));
  if (!reply) {
    kj::throwFatalException(
        KJ_EXCEPTION(FAILED, ToString(reply.error()).c_str()));
  }
  connection_.AssignAgent(reply->agent, reply->connection,
                          context.getParams().getAgent());
  server.Attach(connection_);
  auto results = context.getResults();
  auto welcome = results.initWelcome();
  server.WriteConfig(welcome.initConfig());
  const std::vector<entry_endpoint>& entries = server.entries();
  Encode(entries, welcome.initEntries(static_cast<unsigned>(entries.size())));
  welcome.setHeartbeatMs(static_cast<std::uint32_t>(
      HeartbeatInterval(server.core().open_sessions()).count()));
  welcome.setStatusMs(
      static_cast<std::uint32_t>(server.status_interval().count()));
  welcome.setResumed(reply->resumed);
  welcome.setSession(reply->session.value);
  server.WriteOutList(welcome.initOutList());
  results.setSession(kj::heap<entry_session_server>(connection_));
  server.ScheduleFlush();
  return kj::READY_NOW;
}

kj::Promise<void> entry_session_server::report(ReportContext context) {
  agent_server& server = connection_.server();
  const auto report = context.getParams().getReport();
  server.HandlePostedCalls();
  server.OnAgentConfig(report.getConfig());
  server.OnAgentOutList(report.getOutList());
  const std::vector<task_result> results = jayrill::Decode(report.getResults());
  const bool accepted = server.core().OnReport(
      connection_.agent(), connection_.id(), results,
      jayrill::Decode(report.getStatus()), DecodeClock(report.getSentMicros()));
  server.ScheduleFlush();
  KJ_REQUIRE(accepted, "the connection is not the current one of its agent");
  auto answer = context.getResults();
  answer.setHeartbeatMs(
      static_cast<std::uint32_t>(server.heartbeat_interval().count()));
  answer.setStatusMs(
      static_cast<std::uint32_t>(server.status_interval().count()));
  answer.setCallersLagMs(
      static_cast<std::uint32_t>(server.callers_lag().count()));
  server.WriteOutList(answer.initOutList());
  connection_.OnReportAnswered();
  return kj::READY_NOW;
}

kj::Promise<void> entry_session_server::goodbye(GoodbyeContext /*context*/) {
  connection_.server().core().OnGoodbye(connection_.agent(), connection_.id());
  return kj::READY_NOW;
}

}  // namespace jayrill
