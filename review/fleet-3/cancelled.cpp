// One entry, two agents. A client hands a job of long tasks in and cancels
// it with DELETE while it runs.
#include "fleet.hpp"

using namespace fleet;

namespace {

constexpr long kCancelMs = 3000;
constexpr long kStopMs = 50;

}  // namespace

int main() {
  Begin();
  store platform;
  platform.Put("op/config", ToBase64(Config(7, {"desk"}, true, 4.0, 2000)));
  deployment fleet(Folder(), platform);
  const entry_ports ports;
  const auto entry = fleet.StartEntry("edge-a", "zone-a", ports);
  std::vector<std::unique_ptr<process>> agents;
  std::vector<minion*> minions;
  for (int i = 0; i < 2; ++i) {
    const int announce = FreePort();
    agents.push_back(fleet.StartAgent("side-" + std::to_string(i), "zone-a",
                                      announce, {ports.rpc}));
    minion_options options;
    options.id = "i-" + std::to_string(i);
    options.service = "desk";
    options.zone = "zone-a";
    options.agent_port = announce;
    minions.push_back(new minion(options));
  }
  if (!WaitReady(ports.health, 15000)) {
    End(2);
  }
  Sleep(4000);
  const std::string id = JobId(1);
  std::thread client([&] {
    const reply answer =
        Call(ports.http, "POST", "/q-desk/" + id, ClientHeaders(15000),
             JobBody("work=7000 cpu=1600", 4, 1600, 7000), 15000);
    Log("client: the job is answered " + std::to_string(answer.status) + " " +
        answer.body);
  });
  Sleep(500);
  if (HasTrouble()) {
    const reply answer = Call(ports.http, "DELETE", "/q-desk/" + id,
                              ClientHeaders(1500), "", 1500);
    Log("client: the cancel is answered " + std::to_string(answer.status) +
        " " + answer.body);
    if (answer.status != 410 && answer.status / 100 != 2) {
      End(2);
    }
    Sleep(kCancelMs + kStopMs + 100);
    const bool runs = minions[0]->Runs(id) || minions[1]->Runs(id);
    Log(std::string("later than cancel_ms and stop_ms after that its tasks ") +
        (runs ? "run on" : "are gone"));
    client.join();
    End(runs ? 1 : 0);
  }
  client.join();
  End(0);
}
