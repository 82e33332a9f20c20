// Two entries and four agents. All processes are killed and come back; from
// then on the reader of their standard output stands still.
#include "fleet.hpp"

using namespace fleet;

namespace {

constexpr long kRecoveryMs = 12'000;
constexpr int kClients = 12;

struct request_counts {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
};

}  // namespace

int main() {
  Begin();
  auto& platform = *new store;
  platform.Put("op/config", ToBase64(Config(7, {"desk"}, true, 1.6, 300)));
  deployment fleet(Folder(), platform);
  const entry_ports ports[2];
  std::vector<std::unique_ptr<process>> processes;
  for (int i = 0; i < 2; ++i) {
    processes.push_back(fleet.StartEntry(
        "edge-" + std::to_string(i), i == 0 ? "zone-a" : "zone-b", ports[i]));
  }
  for (int i = 0; i < 4; ++i) {
    const int announce = FreePort();
    const std::string zone = i % 2 == 0 ? "zone-a" : "zone-b";
    processes.push_back(fleet.StartAgent("side-" + std::to_string(i), zone,
                                         announce,
                                         {ports[0].rpc, ports[1].rpc}));
    minion_options options;
    options.id = "i-" + std::to_string(i);
    options.service = "desk";
    options.zone = zone;
    options.agent_port = announce;
    new minion(options);
  }
  if (!WaitReady(ports[0].health, 15000) ||
      !WaitReady(ports[1].health, 15000)) {
    End(2);
  }
  Sleep(4000);
  request_counts before;
  request_counts after;
  std::atomic<request_counts*> counts{&before};
  std::atomic<int> next{0};
  std::atomic<bool> calling{true};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      while (calling) {
        request_counts* const mine = counts;
        const std::string id = JobId(++next);
        if (mine != nullptr) {
          ++mine->sent;
        }
        const reply answer = Call(
            ports[i % 2].http, "POST", "/q-desk/" + id, ClientHeaders(1500),
            JobBody("work=60 cpu=1600", 2, 1600, 60), 1500);
        if (mine != nullptr && answer.status == 200) {
          ++mine->served;
        }
        Log("client: job " + id + " is answered " +
            std::to_string(answer.status) + " by entry " +
            std::to_string(i % 2));
        Sleep(120);
      }
    });
  }
  Sleep(5000);
  counts = nullptr;
  Log("all processes are killed");
  for (const auto& one : processes) {
    one->Kill();
  }
  Sleep(800);
  if (HasTrouble()) {
    process::LogReaderStands() = true;
    Log("the reader of standard output stands still");
  }
  for (const auto& one : processes) {
    one->Start();
  }
  Sleep(kRecoveryMs);
  counts = &after;
  Sleep(8000);
  counts = nullptr;
  calling = false;
  for (std::thread& client : clients) {
    client.join();
  }
  const int ready =
      Call(ports[0].health, "GET", "/v1/ready", "Host: e\r\n", "", 1000).status;
  Log("before the fault " + std::to_string(before.served) + " of " +
      std::to_string(before.sent) + " requests were served, later than " +
      "recovery_s after it " + std::to_string(after.served) + " of " +
      std::to_string(after.sent) +
      "; readiness of an entry: " + std::to_string(ready));
  if (before.sent < 50 || before.served * 4 < before.sent) {
    End(2);
  }
  End(after.served * 4 < after.sent ? 1 : 0);
}
