// One entry and three agents in two zones. The store rejects the entry for nine
// seconds and serves the agents and the operator, who evacuates a zone.
#include "fleet.hpp"

using namespace fleet;

namespace {

constexpr long kRejectedMs = 9000;
constexpr long kEvacuateMs = 5000;

}  // namespace

int main() {
  Begin();
  std::atomic<bool> rejecting{false};
  store platform;
  platform.intercept = [&](const request& call, response& answer) {
    if (!call.is_entry || !rejecting) {
      return false;
    }
    answer = {503, "{}"};
    return true;
  };
  platform.Put("op/config", ToBase64(Config(7, {"desk"})));
  deployment fleet(Folder(), platform);
  const entry_ports ports;
  const auto entry = fleet.StartEntry("edge-a", "zone-a", ports);
  const char* const zones[] = {"zone-a", "zone-a", "zone-b"};
  std::vector<std::unique_ptr<process>> agents;
  std::vector<std::unique_ptr<minion>> minions;
  for (int i = 0; i < 3; ++i) {
    const int announce = FreePort();
    agents.push_back(fleet.StartAgent("side-" + std::to_string(i), zones[i],
                                      announce, {ports.rpc}));
    minion_options options;
    options.id = "i-" + std::to_string(i);
    options.service = "desk";
    options.zone = zones[i];
    options.agent_port = announce;
    minions.push_back(std::make_unique<minion>(options));
  }
  if (!WaitReady(ports.health, 15000)) {
    Log("the entry is not ready");
    End(2);
  }
  Sleep(4000);
  std::atomic<bool> serving{true};
  std::vector<std::thread> clients;
  std::atomic<int> next{0};
  std::atomic<int> served{0};
  for (int i = 0; i < 4; ++i) {
    clients.emplace_back([&] {
      while (serving) {
        const std::string id = JobId(++next);
        const reply answer =
            Call(ports.http, "POST", "/q-desk/" + id, ClientHeaders(1500),
                 JobBody("work=100 cpu=1600", 4, 1600, 100), 1500);
        served += answer.status == 200 ? 1 : 0;
        Log("client: job " + id + " is answered " +
            std::to_string(answer.status));
        Sleep(60);
      }
    });
  }
  Sleep(3000);
  Log("the store begins to reject the entry");
  rejecting = HasTrouble();
  const long rejected_at = Now();
  Sleep(1000);
  const long acknowledged = platform.Put("op/evacuate/zone-b", ToBase64("{}"));
  Log("operator: the evacuation of zone-b is acknowledged");
  Sleep(rejected_at + kRejectedMs - Now());
  const long healed = Now();
  rejecting = false;
  Log("the store serves the entry again");
  Sleep(1500);
  serving = false;
  for (std::thread& client : clients) {
    client.join();
  }
  // The agents and the store's path to them were without disruption all day,
  // so each of them is in touch.
  int late = 0;
  int before = 0;
  for (const minion::start& one : minions[2]->starts()) {
    before += one.at <= acknowledged ? 1 : 0;
    late += one.at > acknowledged + kEvacuateMs ? 1 : 0;
  }
  Log("starts in zone-b before the acknowledgement: " + std::to_string(before) +
      ", later than evacuate_ms after it: " + std::to_string(late) +
      ", jobs served: " + std::to_string(served.load()) + ", rejected for " +
      std::to_string(healed - rejected_at) + " ms");
  if (before == 0 || served < 20) {
    Log("the case could not run");
    End(2);
  }
  End(late > 0 ? 1 : 0);
}
