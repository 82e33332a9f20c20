// Starts entries and agents of jayrill as separate processes with the commands
// of the deploy file, beside stand-ins of the store, the minions and the
// clients, and judges what these have seen.
//
//   fleet SCENARIO PROGRAM RECORD TROUBLE
//
// Exits with 1 when the rule was broken, 0 when it held and 2 when the case
// could not run.

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>

#include "platform.hpp"

namespace review2 {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

constexpr std::size_t kAgents = 4;
// Bandwidth of the link of an edge machine.
constexpr double kLinkBitsPerSecond = 25e6;
// The settings name the addresses of at most three entries to an agent.
constexpr std::size_t kSeeds = 3;

constexpr char kHost[] = "nony24.example";
constexpr char kPrefix[] = "/lohu930/";

// Times are measured from the start of the machines. Bounds and settings are
// those of colonia-becas-grown; traffic starts 14 s after the machines there.
constexpr std::chrono::seconds kTrafficStart(14);
constexpr std::chrono::seconds kTrafficLength(40);
constexpr milliseconds kJobInterval{50};
constexpr milliseconds kDeadline{1500};
constexpr std::chrono::seconds kReadyLimit(5);

// Configurations in quick succession, and an evacuation among them.
constexpr int kFirstVersion = 7;
constexpr int kMoreRoutes = 3 * 1400;
constexpr milliseconds kStormLength{2000};
constexpr milliseconds kStormGap{80};
constexpr std::chrono::seconds kEvacuateBound(5);  // Bound `evacuate_ms`.

// The final fault of a day, and what follows it.
constexpr std::chrono::seconds kFaultAfter(24);
constexpr milliseconds kRestartDelay{500};
constexpr std::chrono::seconds kSeedLag(3);    // Bound `seed_lag_s`.
constexpr std::chrono::seconds kRecovery(15);  // Bound `recovery_s`.
constexpr std::chrono::seconds kJudgedLength(20);

// Returns `count` ports that are free now.
std::vector<std::uint16_t> FreePorts(std::size_t count) {
  std::vector<int> sockets;
  std::vector<std::uint16_t> ports;
  for (std::size_t i = 0; i < count; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      std::exit(kCannotRun);
    }
    sockets.push_back(fd);
    ports.push_back(ntohs(address.sin_port));
  }
  for (const int fd : sockets) {
    close(fd);
  }
  return ports;
}

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// A process of jayrill; killed when the object is destroyed.
class role_process {
 public:
  role_process(const std::string& program,
               const std::string& role,
               std::vector<std::string> environment) {
    environment.push_back("PATH=/usr/bin:/bin");
    environment.push_back("HOME=/tmp");
    environment.push_back("LANG=C.UTF-8");
    std::vector<char*> variables;
    for (std::string& item : environment) {
      variables.push_back(item.data());
    }
    variables.push_back(nullptr);
    pid_ = fork();
    if (pid_ == 0) {
      // The process ends with this program, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      // The logs of the processes are not needed.
      if (std::freopen("/dev/null", "w", stdout) == nullptr ||
          std::freopen("/dev/null", "w", stderr) == nullptr) {
        _exit(kCannotRun);
      }
      execle(program.c_str(), program.c_str(), role.c_str(), nullptr,
             variables.data());
      _exit(kCannotRun);
    }
  }
  role_process(const role_process&) = delete;
  role_process& operator=(const role_process&) = delete;
  ~role_process() { Kill(); }

  void Kill() {
    if (IsRunning()) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      has_ended_ = true;
      is_killed_ = true;
    }
  }
  bool is_killed() const { return is_killed_; }

  bool IsRunning() {
    if (!has_ended_) {
      has_ended_ = waitpid(pid_, nullptr, WNOHANG) == pid_;
    }
    return !has_ended_;
  }

 private:
  pid_t pid_ = -1;
  bool has_ended_ = false;
  bool is_killed_ = false;
};

// A configuration with `more` routes beside the one that is used.
QJsonObject MakeConfig(int version, int more = 0) {
  QJsonObject route{
      {QLatin1String("name"), QLatin1String("r-wrr6x73")},
      {QLatin1String("host"), QLatin1String(kHost)},
      {QLatin1String("prefix"), QLatin1String(kPrefix)},
      {QLatin1String("type"), QLatin1String("non_idempotent")},
      {QLatin1String("timeout_ms"), 1500},
      {QLatin1String("target_latency_ms"), 60},
      {QLatin1String("priority"), 0},
      {QLatin1String("service"), QLatin1String(minion_standin::kService)},
      {QLatin1String("max_attempts"), 3},
      {QLatin1String("slack_factor"), 1.6}};
  QJsonArray routes{route};
  for (int i = 0; i < more; ++i) {
    const QString number = QString::number(1000000 + i);
    route[QLatin1String("name")] = QLatin1String("r-") + number;
    route[QLatin1String("prefix")] =
        QLatin1String("/q") + number + QLatin1Char('/');
    routes.append(route);
  }
  const QJsonObject service{
      {QLatin1String("name"), QLatin1String(minion_standin::kService)},
      {QLatin1String("health_path"), QLatin1String("/health")},
      {QLatin1String("max_connections"), 64},
      {QLatin1String("enforces_capacity"), true},
      {QLatin1String("standby"), false}};
  return {{QLatin1String("version"), version},
          {QLatin1String("routes"), routes},
          {QLatin1String("services"), QJsonArray{service}},
          {QLatin1String("limits"), QJsonObject()}};
}

// A small deployment: a store, entries, and agents with a minion each.
class fleet {
 public:
  fleet(std::string program, recorder& record, std::size_t entries)
      : program_(std::move(program)),
        record_(record),
        ports_(FreePorts(1 + 4 * entries + 2 * kAgents)),
        entries_(entries),
        agents_(kAgents) {
    std::string folder = "/tmp/review-2-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
      std::exit(kCannotRun);
    }
    settings_path_ = folder + "/local.json";
  }
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Ends all processes and removes the temporary folder. The threads of the
  // stand-ins go on, so a fleet is never destroyed.
  void End() {
    KillAll();
    std::remove(settings_path_.c_str());
    rmdir(settings_path_.substr(0, settings_path_.rfind('/')).c_str());
  }

  bool Start() {
    store_.Put("op/config", MakeConfig(kFirstVersion));
    if (!Serve(StorePort(), [this](const http_message& request) {
          return store_.Handle(request);
        })) {
      return false;
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      links_.push_back(
          std::make_unique<slow_link>(StorePort(), kLinkBitsPerSecond));
      if (!links_.back()->Start(LinkPort(i))) {
        return false;
      }
      StartEntry(i);
    }
    for (std::size_t i = 0; i < kAgents; ++i) {
      StartAgent(i);
      minions_.push_back(std::make_unique<minion_standin>(
          "i-7f3a91c" + std::to_string(i), ZoneOf(i % entries_.size()),
          AgentPort(i, 1), AgentPort(i), record_));
      if (!minions_.back()->Start()) {
        return false;
      }
    }
    return true;
  }

  void StartEntry(std::size_t i) {
    entries_[i] = std::make_unique<role_process>(
        program_, "entry",
        std::vector<std::string>{
            "JAYRILL_PLATFORM=true",
            "JAYRILL_ID=edge-" + ZoneOf(i) + "-" + std::to_string(i),
            "JAYRILL_DATA_CENTRE=" + ZoneOf(i),
            "JAYRILL_HTTP_LISTEN=" + Address(EntryPort(i)),
            "JAYRILL_HEALTH_LISTEN=" + Address(EntryPort(i, 1)),
            "JAYRILL_RPC_LISTEN=" + Address(EntryPort(i, 2)),
            "JAYRILL_STORE_ENDPOINTS=" + Address(LinkPort(i)),
            "JAYRILL_REPEAT_AFTER_MS=1300", "JAYRILL_PROCESSOR_CORES=0.12",
            "JAYRILL_SLOW_START_MS=0", "JAYRILL_STOP_DELAY_MS=2000"});
  }

  // The seeds in the settings of the agents are the first entries, at most
  // kSeeds, until SetSeeds is called.
  void StartAgent(std::size_t i) {
    if (seeds_.empty()) {
      std::vector<std::size_t> first;
      for (std::size_t e = 0; e < std::min(kSeeds, entries_.size()); ++e) {
        first.push_back(e);
      }
      SetSeeds(first);
    }
    const std::string name = "side-" + std::to_string(i);
    agents_[i] = std::make_unique<role_process>(
        program_, "agent",
        std::vector<std::string>{
            "JAYRILL_PLATFORM=true", "JAYRILL_ID=" + name,
            "JAYRILL_WORKER=" + name,
            "JAYRILL_DATA_CENTRE=" + ZoneOf(i % entries_.size()),
            "JAYRILL_ANNOUNCE_LISTEN=" + Address(AgentPort(i)),
            "JAYRILL_ENTRIES=" + seeds_, "JAYRILL_REPEAT_AFTER_MS=1300",
            "JAYRILL_CONFIG=" + settings_path_, "JAYRILL_LEASE_MS=1000",
            "JAYRILL_STOP_LIMIT_MS=5000", "JAYRILL_STATUS_INTERVAL_MS=5"});
  }

  // Sets the seeds in the settings of the agents: in the file, which may change
  // while they run, and in the variables of those that are started from now on.
  void SetSeeds(const std::vector<std::size_t>& entries) {
    seeds_.clear();
    QJsonArray seeds;
    for (const std::size_t entry : entries) {
      const std::string address = Address(EntryPort(entry, 2));
      seeds_ += (seeds_.empty() ? "" : ",") + address;
      seeds.append(QString::fromStdString(address));
    }
    const QJsonObject platform{{QLatin1String("address"),
                                QString::fromStdString(Address(StorePort()))},
                               {QLatin1String("form"), QLatin1String("kv")}};
    std::ofstream(settings_path_)
        << ToText({{QLatin1String("instance_type"), QLatin1String("side")},
                   {QLatin1String("seeds"), seeds},
                   {QLatin1String("platform"), platform}})
        << std::endl;
    record_.Write("settings: seeds=" + seeds_);
  }

  // Kills all processes of jayrill at the same moment.
  void KillAll() {
    for (auto* const processes : {&entries_, &agents_}) {
      for (const auto& process : *processes) {
        process->Kill();
      }
    }
  }

  // Returns true when all processes run, all entries are ready and all agents
  // have acknowledged a heartbeat, within `limit`.
  bool WaitUntilReady(milliseconds limit) {
    const time_point until = clock_type::now() + limit;
    while (clock_type::now() < until) {
      bool ready = true;
      for (std::size_t i = 0; i < entries_.size(); ++i) {
        ready &= IsReady(i);
      }
      for (const auto& minion : minions_) {
        ready &= minion->acknowledged() > 0;
      }
      if (ready) {
        return AreAllRunning();
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  bool IsReady(std::size_t entry) const {
    const auto answer = Call(EntryPort(entry, 1), "GET", "/v1/ready",
                             "Host: 127.0.0.1\r\n", "", milliseconds(500));
    return answer && answer->status == 200;
  }

  // Returns true when no process has ended by itself.
  bool AreAllRunning() {
    return std::all_of(entries_.begin(), entries_.end(), &fleet::IsAsLeft) &&
           std::all_of(agents_.begin(), agents_.end(), &fleet::IsAsLeft);
  }

  store_standin& store() { return store_; }
  std::uint16_t EntryPort(std::size_t i, std::size_t which = 0) const {
    return ports_[1 + 3 * i + which];
  }
  const std::vector<std::unique_ptr<minion_standin>>& minions() const {
    return minions_;
  }

 private:
  static bool IsAsLeft(const std::unique_ptr<role_process>& process) {
    return process->is_killed() || process->IsRunning();
  }
  static std::string ZoneOf(std::size_t i) {
    constexpr const char* kZones[] = {"col-centro", "col-norte", "col-puerto",
                                      "col-rosario", "col-carmelo"};
    return kZones[i % std::size(kZones)];
  }
  std::uint16_t StorePort() const { return ports_[0]; }
  // Port of the link between an entry and the store.
  std::uint16_t LinkPort(std::size_t entry) const {
    return ports_[1 + 3 * entries_.size() + 2 * kAgents + entry];
  }
  std::uint16_t AgentPort(std::size_t i, std::size_t which = 0) const {
    return ports_[1 + 3 * entries_.size() + 2 * i + which];
  }

  std::string program_;
  recorder& record_;
  std::vector<std::uint16_t> ports_;
  std::string settings_path_;
  std::string seeds_;  // IP:port,...
  store_standin store_;
  std::vector<std::unique_ptr<slow_link>> links_;
  std::vector<std::unique_ptr<minion_standin>> minions_;
  std::vector<std::unique_ptr<role_process>> entries_;
  std::vector<std::unique_ptr<role_process>> agents_;
};

std::string RandomJobId(std::mt19937_64& random) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

// Submits one best-effort job of two tasks of 60 ms.
// Returns the status of the answer, 0 when there is none.
int SubmitJob(std::uint16_t port, const std::string& id) {
  const std::string headers =
      std::string("Host: ") + kHost +
      "\r\nX-Deadline-Ms: " + std::to_string(kDeadline.count()) + "\r\n";
  const auto answer =
      Call(port, "POST", kPrefix + id, headers,
           R"({"spec":"60","phases":[{"count":2,"cpu":1600,"mem_mb":64,)"
           R"("estimate_ms":60}],"best_effort":true})",
           kDeadline + milliseconds(50));
  return answer ? answer->status : 0;
}

// Another writer sends one heartbeat to each agent. It names a service that no
// configuration names, and an address at which nobody listens.
void SendForeignHeartbeats(const fleet& site, recorder& record) {
  const std::uint16_t unused = FreePorts(1).front();
  for (const auto& minion : site.minions()) {
    const std::string body = ToText(minion_standin::Heartbeat(
        "bomi73a", unused, "col-centro", 5, UnixMillis(), 1));
    const auto answer =
        Call(minion->agent_port(), "PUT", "/v1/instances/i-0badcafe",
             "Host: 127.0.0.1\r\n", body, std::chrono::seconds(1));
    record.Write("other writer: heartbeat to the agent of " + minion->id() +
                 " " + body + " -> " +
                 (answer ? std::to_string(answer->status) : "no answer"));
  }
}

// Clients that submit a job each kJobInterval and record the answers.
class traffic {
 public:
  traffic(const fleet& site, recorder& record)
      : site_(site), record_(record), random_(39) {}

  // Submits jobs to `entries` in turn until `end`, and waits for the answers.
  // Returns the number of answers by status; 0 stands for none.
  std::map<int, int> Play(const std::vector<std::size_t>& entries,
                          time_point end) {
    std::map<int, int> statuses;
    std::mutex mutex;
    std::vector<std::thread> clients;
    for (time_point next = clock_type::now(); next < end;
         next += kJobInterval) {
      std::this_thread::sleep_until(next);
      const std::size_t entry = entries[clients.size() % entries.size()];
      clients.emplace_back([&, entry, id = RandomJobId(random_)] {
        const int status = SubmitJob(site_.EntryPort(entry), id);
        record_.Write("client job=" + id + " entry=" + std::to_string(entry) +
                      " -> " +
                      (status == 0 ? "no answer" : std::to_string(status)));
        const std::lock_guard<std::mutex> lock(mutex);
        ++statuses[status];
      });
    }
    for (std::thread& client : clients) {
      client.join();
    }
    return statuses;
  }

 private:
  const fleet& site_;
  recorder& record_;
  std::mt19937_64 random_;
};

std::string Summary(const std::map<int, int>& statuses) {
  std::string text;
  for (const auto& [status, count] : statuses) {
    text += " " + std::to_string(status) + ":" + std::to_string(count);
  }
  return text;
}

double ServedShare(const std::map<int, int>& statuses) {
  int all = 0;
  int served = 0;
  for (const auto& [status, count] : statuses) {
    all += count;
    served += status == 200 ? count : 0;
  }
  return all == 0 ? 0 : static_cast<double>(served) / all;
}

// Rule Fault: the day counts 0 if no request is served.
int PlayForeignHeartbeat(fleet& site, recorder& record, bool trouble) {
  const time_point begin = clock_type::now();
  if (!site.Start() || !site.WaitUntilReady(kReadyLimit)) {
    record.Write("the fleet is not ready");
    return kCannotRun;
  }
  if (trouble) {
    SendForeignHeartbeats(site, record);
  }
  std::this_thread::sleep_until(begin + kTrafficStart);
  const auto statuses =
      traffic(site, record)
          .Play({0, 1}, begin + kTrafficStart + kTrafficLength);
  if (!site.AreAllRunning()) {
    record.Write("a process has ended by itself");
    return kCannotRun;
  }
  std::string heartbeats;
  for (const auto& minion : site.minions()) {
    heartbeats += " heartbeats of " + minion->id() +
                  " acknowledged:" + std::to_string(minion->acknowledged());
  }
  record.Write("answers by status:" + Summary(statuses) + heartbeats);
  const bool is_broken = ServedShare(statuses) == 0;
  record.Write(is_broken ? "Fault broken: no request was served"
                         : "Fault held: requests were served");
  return is_broken ? kBroken : kHeld;
}

// Rule RECOVER: of the requests sent later than recovery_s after the machines
// are back, less than a quarter is served, though a quarter or more was before
// the final fault. In the final fault all processes are killed, and the
// machines of the seeds are removed for good.
int PlayLostSeeds(fleet& site, recorder& record, bool trouble) {
  const time_point begin = clock_type::now();
  const std::vector<std::size_t> all{0, 1, 2, 3, 4, 5};
  if (!site.Start() || !site.WaitUntilReady(kReadyLimit)) {
    record.Write("the fleet is not ready");
    return kCannotRun;
  }
  traffic clients(site, record);
  std::this_thread::sleep_until(begin + kTrafficStart);
  const auto before = clients.Play(all, begin + kFaultAfter);
  record.Write("before the fault, answers by status:" + Summary(before));
  if (ServedShare(before) < 0.25) {
    return kCannotRun;
  }
  std::vector<std::size_t> remaining = all;
  if (trouble) {
    site.KillAll();
    record.Write("all processes are killed; entries 0 to 2 are removed");
    std::this_thread::sleep_for(kRestartDelay);
    remaining = {3, 4, 5};
    for (const std::size_t entry : remaining) {
      site.StartEntry(entry);
    }
    for (std::size_t i = 0; i < kAgents; ++i) {
      site.StartAgent(i);
    }
    record.Write("entries 3 to 5 and all agents are started again");
  }
  const time_point back = clock_type::now();
  if (trouble) {
    // The settings follow what has happened to the machines with this lag.
    std::this_thread::sleep_until(back + kSeedLag);
    site.SetSeeds(remaining);
  }
  std::this_thread::sleep_until(back + kRecovery);
  const auto after = clients.Play(remaining, clock_type::now() + kJudgedLength);
  if (!site.AreAllRunning()) {
    record.Write("a process has ended by itself");
    return kCannotRun;
  }
  const auto ready =
      std::count_if(remaining.begin(), remaining.end(),
                    [&site](std::size_t entry) { return site.IsReady(entry); });
  record.Write(
      "from 15 s after the restart, answers by status:" + Summary(after) +
      "; entries that are ready: " + std::to_string(ready) + " of " +
      std::to_string(remaining.size()));
  const bool is_broken = ServedShare(after) < 0.25;
  record.Write(is_broken ? "RECOVER broken: less than a quarter was served"
                         : "RECOVER held");
  return is_broken ? kBroken : kHeld;
}

// Rule EVAC: a machine in touch starts a task in a zone later than evacuate_ms
// after its evacuation was acknowledged. The evacuation follows a series of
// large configurations; without the disruption these have one route.
int PlayLargeConfigurations(fleet& site, recorder& record, bool trouble) {
  const time_point begin = clock_type::now();
  if (!site.Start() || !site.WaitUntilReady(kReadyLimit)) {
    record.Write("the fleet is not ready");
    return kCannotRun;
  }
  std::this_thread::sleep_until(begin + kTrafficStart);
  const std::string zone = site.minions().front()->zone();
  time_point acknowledged = time_point::max();
  std::thread operation([&] {
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const time_point first = clock_type::now();
    int version = kFirstVersion;
    for (time_point next = first; next < first + kStormLength;
         next += kStormGap) {
      std::this_thread::sleep_until(next);
      site.store().Put("op/config",
                       MakeConfig(++version, trouble ? kMoreRoutes : 0));
    }
    record.Write("operator: configurations up to version " +
                 std::to_string(version) + " are acknowledged");
    site.store().Put("op/evacuate/" + zone, QJsonObject());
    acknowledged = clock_type::now();
    record.Write("operator: the evacuation of " + zone + " is acknowledged");
  });
  const auto statuses =
      traffic(site, record)
          .Play({0, 1}, begin + kTrafficStart + kTrafficLength);
  operation.join();
  if (!site.AreAllRunning()) {
    record.Write("a process has ended by itself");
    return kCannotRun;
  }
  int late = 0;
  for (const auto& minion : site.minions()) {
    late += minion->zone() == zone
                ? minion->StartsAfter(acknowledged + kEvacuateBound)
                : 0;
  }
  record.Write("answers by status:" + Summary(statuses) + "; starts in " +
               zone + " later than 5 s after that: " + std::to_string(late));
  record.Write(late > 0 ? "EVAC broken" : "EVAC held");
  return late > 0 ? kBroken : kHeld;
}

struct scenario {
  const char* name;
  std::size_t entries;
  int (*play)(fleet& site, recorder& record, bool trouble);
};

constexpr scenario kScenarios[] = {
    {"foreign_heartbeat", 2, &PlayForeignHeartbeat},
    {"large_configurations", 2, &PlayLargeConfigurations},
    {"lost_seeds", 2 * kSeeds, &PlayLostSeeds},
};

int Play(const std::string& name,
         const std::string& program,
         const std::string& record_path,
         bool trouble) {
  for (const scenario& item : kScenarios) {
    if (name == item.name) {
      auto& record = *new recorder(record_path);
      auto& site = *new fleet(program, record, item.entries);
      const int result = item.play(site, record, trouble);
      site.End();
      return result;
    }
  }
  return kCannotRun;
}

}  // namespace
}  // namespace review2

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "usage: fleet SCENARIO PROGRAM RECORD TROUBLE\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const int result =
      review2::Play(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
  // The threads of the stand-ins run on and use what would be destroyed now.
  std::fflush(nullptr);
  _exit(result);
}
