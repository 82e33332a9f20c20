#include "jayrill/cli/standalone.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_cat.h>

#include <utility>

#include "jayrill/base/endpoint.h"
#include "jayrill/cli/flags.h"
#include "jayrill/cli/role_settings.h"

namespace jayrill {
namespace {

constexpr char kDataCentre[] = "local";

/// \returns the address at which others connect to a part that listens on
/// \p listen: with \p port, which the part has bound, and the loopback address
/// in place of a wildcard.
std::string ConnectAddress(const std::string& listen, std::uint16_t port) {
  endpoint address = ParseEndpoint(listen).value_or(endpoint{"127.0.0.1", 0});
  if (IsWildcard(address)) {
    address.ip = "127.0.0.1";
  }
  address.port = port;
  return ToString(address);
}

entry_settings EntrySettings() {
  entry_settings settings = EntrySettingsFromFlags();
  settings.id = "standalone";
  settings.data_centre = kDataCentre;
  settings.store_endpoints.clear();
  return settings;
}

agent_settings AgentSettings(std::string entry) {
  agent_settings settings = AgentSettingsFromFlags();
  settings.id = "standalone";
  settings.data_centre = kDataCentre;
  settings.worker = "local";
  settings.rack = "local";
  settings.entries = {std::move(entry)};
  return settings;
}

}  // namespace

standalone::standalone(const clock& time) : time_(time) {}

result<void> standalone::Start() {
  entry_.emplace(EntrySettings(), time_);
  if (result<void> started = entry_->Start(); !started) {
    return started;
  }
  agent_.emplace(AgentSettings(ConnectAddress(absl::GetFlag(FLAGS_rpc_listen),
                                              entry_->rpc_port())),
                 time_);
  if (result<void> started = agent_->Start(); !started) {
    return started;
  }
  sample_settings settings = SampleSettingsFromFlags();
  settings.agent_address =
      ConnectAddress(absl::GetFlag(FLAGS_announce_listen), agent_->http_port());
  backend_.emplace(std::move(settings), time_);
  return backend_->Start();
}

void standalone::Stop(std::function<void()> stopped) {
  agent_->OnStopped(std::move(stopped));
  entry_->OnStopped([this] { backend_->Stop([this] { agent_->Stop(); }); });
  entry_->Stop();
}

bool standalone::IsReady() const {
  return entry_->IsReady() && agent_->view().connected_entries > 0 &&
         agent_->view().status.slots > 0;
}

std::string standalone::Describe() const {
  const std::string entry = entry_address();
  const std::string service = absl::GetFlag(FLAGS_service);
  return absl::StrCat(
      "entry           http://", entry, "\n", "entry for agents ",
      ConnectAddress(absl::GetFlag(FLAGS_rpc_listen), entry_->rpc_port()), "\n",
      "agent           http://",
      ConnectAddress(absl::GetFlag(FLAGS_announce_listen), agent_->http_port()),
      "\n", "sample backend  http://",
      ConnectAddress(absl::GetFlag(FLAGS_listen), backend_->port()), "\n\n",
      "Submit a job:\n  curl -s http://", entry, R"(/v1/jobs -d '{"service":")",
      service, R"(","team":"demo","idempotent":true,"deadline_ms":5000,)",
      R"("tasks":[{"kind":"demo","payload":{"work_ms":100}},)",
      R"({"kind":"demo","payload":{"work_ms":200}}]}')", "\n");
}

std::string standalone::entry_address() const {
  return ConnectAddress(absl::GetFlag(FLAGS_http_listen), entry_->http_port());
}

}  // namespace jayrill
