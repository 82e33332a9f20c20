#include "jayrill/agent/entry_link.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "jayrill/agent/internal/agent_port.h"
#include "jayrill/agent/internal/entry_connection.h"
#include "jayrill/rpc/codec.h"

namespace jayrill {

namespace {

// Bound on dialling and on the handshake: an address that does not answer is
// dialled again.
constexpr auto kDialLimit = 3 * kj::SECONDS;

// Bound on the TCP connection alone. An instance without power answers nothing,
// and the kernel repeats the first packet only after one second, then two.
constexpr auto kConnectLimit = 300 * kj::MILLISECONDS;

// Interval at which a second address of a connected entry is tried.
constexpr auto kAliasDelay = 5 * kj::SECONDS;

// Bounds on reports without acknowledgement, so that a slow entry makes the
// agent keep results instead of filling its socket.
constexpr std::uint32_t kMaxReportsInFlight = 16;
constexpr std::size_t kMaxReportBytes = 1U << 20U;

// An agent dials no more entries than this, whatever the entries list.
constexpr std::size_t kMaxListedEntries = 64;

kj::Duration ToKj(steady_duration duration) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(duration)
             .count() *
         kj::NANOSECONDS;
}

config_copy ToCopy(wire::Config::Reader config) {
  return {config_revision{config.getRevision()}, ToString(config.getPacked())};
}

void Encode(const config_copy& config, wire::Config::Builder wire) {
  wire.setRevision(config.revision.value);
  wire.setPacked(ToData(config.packed));
}

}  // namespace

entry_link::entry_link(std::string address, context& shared)
    : address_(std::move(address)),
      shared_(shared),
      schedule_(shared.settings.status_interval),
      tasks_(kj::heap<kj::TaskSet>(
          static_cast<kj::TaskSet::ErrorHandler&>(*this))) {}

entry_link::~entry_link() {
  tasks_ = nullptr;  // Refers to the connection.
  Close();
}

void entry_link::Start() {
  tasks_->add(kj::evalLater([this] { return Run(); }));
}

kj::Promise<void> entry_link::Run() {
  dropping_ = false;
  return kj::evalNow([this] { return Attempt(); })
      .catch_([this](kj::Exception&& failure) {
        VLOG(1) << "rpc: entry " << address_ << ": "
                << failure.getDescription().cStr();
      })
      .then([this] {
        Close();
        const bool alias = std::exchange(is_alias_, false);
        return shared_.io.getTimer().afterDelay(
            alias ? kAliasDelay : ToKj(backoff_.Next(shared_.random)));
      })
      .then([this] { tasks_->add(Run()); });
}

kj::Promise<void> entry_link::Attempt() {
  auto& timer = shared_.io.getTimer();
  auto connect = shared_.io.getNetwork()
                     .parseAddress(kj::StringPtr(address_.c_str()))
                     .then([](kj::Own<kj::NetworkAddress>&& address) {
                       auto connected = address->connect();
                       return connected.attach(kj::mv(address));
                     });
  auto dial =
      timer.timeoutAfter(kConnectLimit, kj::mv(connect))
          .then([this](kj::Own<kj::AsyncIoStream>&& stream) {
            ++serial_;
            connection_ = kj::heap<agent::internal::entry_connection>(
                kj::mv(stream), static_cast<kj::TaskSet::ErrorHandler&>(*this));
            return Handshake();
          });
  return timer.timeoutAfter(kDialLimit, kj::mv(dial)).then([this] {
    return connection_->network.onDisconnect().exclusiveJoin(
        kj::mv(connection_->dropped));
  });
}

kj::Promise<void> entry_link::Handshake() {
  return connection_->entry.identifyRequest().send().then([this](
                                                              auto&& response) {
    const auto entry = response.getEntry();
    if (entry.getProtocolVersion() != kProtocolVersion) {
      LOG_EVERY_N(ERROR, 60)
          << "rpc: entry " << address_ << " has protocol version "
          << entry.getProtocolVersion() << ", this agent has "
          << kProtocolVersion << "; update the older of the two";
      kj::throwFatalException(KJ_EXCEPTION(FAILED, "another protocol version"));
    }
    const incarnation id{entry.getIncarnation()};
    if (shared_.core.IsConnected(id)) {
      // Two addresses of one entry would fence each other's starts.
      is_alias_ = true;
      kj::throwFatalException(
          KJ_EXCEPTION(FAILED, "connected through another address"));
    }
    entry_ = id;
    return SendHello();
  });
}

kj::Promise<void> entry_link::SendHello() {
  auto request = connection_->entry.connectRequest();
  const auto open = shared_.core.Connect(entry_);
  epoch_ = open.epoch;
  FillHello(request.initHello(), open);
  request.setAgent(kj::heap<agent::internal::agent_port>(*this, serial_));
  return request.send().then([this](auto&& response) {
    connection_->session = response.getSession();
    OnWelcome(response.getWelcome());
  });
}

void entry_link::FillHello(wire::AgentHello::Builder hello,
                           entry_session::opening open) {
  const agent_settings& settings = shared_.settings;
  hello.setProtocolVersion(kProtocolVersion);
  hello.setAgentId(settings.id);
  hello.setIncarnation(shared_.self.value);
  hello.setDataCentre(settings.data_centre);
  hello.setWorker(settings.worker);
  hello.setRack(settings.rack);
  hello.setEpoch(open.epoch.value);
  hello.setLastAccepted(open.last_accepted.value);
  Encode(shared_.core.config(), hello.initConfig());
  Encode(shared_.core.Status(), hello.initStatus());
  entry_revision_ = shared_.core.config().revision;
}

void entry_link::OnWelcome(wire::EntryWelcome::Reader welcome) {
  if (dropping_) {
    return;
  }
  LOG(INFO) << "rpc: connected to entry " << address_ << " " << ToString(entry_)
            << " resumed=" << welcome.getResumed();
  backoff_.Reset();
  schedule_.Open(shared_.time.Now(),
                 std::chrono::milliseconds(welcome.getHeartbeatMs()),
                 shared_.core.Status());
  schedule_.SetWantedStatusInterval(
      std::chrono::milliseconds(welcome.getStatusMs()));
  shared_.core.SetHeartbeat(schedule_.heartbeat());
  shared_.core.OnHeard(entry_);
  shared_.core.OfferConfig(ToCopy(welcome.getConfig()));
  shared_.core.Welcome(entry_, welcome.getResumed());
  welcomed_ = true;
  SetListed(welcome.getEntries());
  for (const start_batch& batch : std::exchange(early_batches_, {})) {
    shared_.core.HandleBatch(entry_, batch);
  }
  ScheduleReport();
}

void entry_link::Close() {
  welcomed_ = false;
  config_wanted_ = false;
  reports_in_flight_ = 0;
  early_batches_.clear();
  if (connection_.get() == nullptr) {
    return;
  }
  // A new serial number: late calls of the entry find no current connection.
  ++serial_;
  if (entry_.value != 0) {
    shared_.core.Disconnect(entry_, epoch_);
    entry_ = {};
  }
  connection_ = nullptr;
}

void entry_link::Drop(const std::string& reason) {
  if (connection_.get() == nullptr || dropping_) {
    return;
  }
  LOG(WARNING) << "rpc: dropping the connection to entry " << address_ << ": "
               << reason;
  dropping_ = true;
  connection_->drop->fulfill();
}

bool entry_link::IsCurrent(std::uint64_t serial) const {
  return serial == serial_ && !dropping_;
}

bool entry_link::Hear(std::uint64_t serial) {
  if (!IsCurrent(serial)) {
    return false;
  }
  schedule_.OnHeard(shared_.time.Now());
  if (entry_.value != 0) {
    shared_.core.OnHeard(entry_);
  }
  return true;
}

void entry_link::OnStart(std::uint64_t serial,
                         wire::StartBatch::Reader wire_batch) {
  if (!Hear(serial)) {
    return;
  }
  start_batch batch;
  batch.revision = config_revision{wire_batch.getRevision()};
  batch.epoch = connection_epoch{wire_batch.getEpoch()};
  batch.starts = Decode(wire_batch.getStarts());
  entry_revision_ = batch.revision;
  config_wanted_ |= batch.revision < shared_.core.config().revision;
  if (welcomed_) {
    shared_.core.HandleBatch(entry_, batch);
  } else {
    early_batches_.push_back(std::move(batch));
  }
}

void entry_link::OnCancel(std::uint64_t serial,
                          capnp::List<std::uint64_t>::Reader wire_numbers) {
  if (!Hear(serial) || !welcomed_) {
    return;
  }
  std::vector<start_number> numbers;
  numbers.reserve(wire_numbers.size());
  for (const std::uint64_t number : wire_numbers) {
    numbers.push_back(start_number{number});
  }
  shared_.core.Cancel(entry_, numbers);
}

config_revision entry_link::OnConfigure(std::uint64_t serial,
                                        wire::Config::Reader config) {
  if (Hear(serial)) {
    entry_revision_ = config_revision{config.getRevision()};
    shared_.core.OfferConfig(ToCopy(config));
  }
  return shared_.core.config().revision;
}

void entry_link::OnHeartbeat(std::uint64_t serial,
                             capnp::List<capnp::Text>::Reader entries) {
  if (Hear(serial)) {
    SetListed(entries);
  }
}

void entry_link::SetListed(capnp::List<capnp::Text>::Reader entries) {
  std::vector<std::string> listed;
  for (const auto entry : entries) {
    if (listed.size() < kMaxListedEntries) {
      listed.push_back(ToString(entry));
    }
  }
  if (listed != listed_) {
    listed_ = std::move(listed);
    shared_.on_addresses();
  }
}

void entry_link::ScheduleReport() {
  if (!welcomed_ || dropping_ || report_scheduled_) {
    return;
  }
  report_scheduled_ = true;
  tasks_->add(kj::evalLast([this] {
    report_scheduled_ = false;
    SendReport();
  }));
}

void entry_link::OnStatusChanged(std::chrono::milliseconds interval) {
  schedule_.SetStatusInterval(interval);
  // A timer that is set looks at the status when it fires.
  if (!status_timer_set_) {
    ReportStatusWhenDue();
  }
}

void entry_link::ReportStatusWhenDue() {
  if (!welcomed_ || dropping_ || report_scheduled_) {
    return;
  }
  const auto due = schedule_.StatusDue(shared_.core.Status());
  if (!due) {
    return;
  }
  const steady_time now = shared_.time.Now();
  if (*due <= now) {
    ScheduleReport();
  } else {
    status_timer_set_ = true;
    tasks_->add(shared_.io.getTimer().afterDelay(ToKj(*due - now)).then([this] {
      status_timer_set_ = false;
      ReportStatusWhenDue();
    }));
  }
}

bool entry_link::ShallSendConfig(bool heartbeat) const {
  return entry_revision_ < shared_.core.config().revision &&
         (config_wanted_ || heartbeat);
}

void entry_link::SendReport() {
  if (!welcomed_ || dropping_ || reports_in_flight_ >= kMaxReportsInFlight) {
    return;  // The acknowledgement or the next connection continues.
  }
  const steady_time now = shared_.time.Now();
  entry_session& session = shared_.core.Session(entry_);
  const auto results = session.TakeUnsent(kMaxReportBytes);
  auto request = connection_->session.reportRequest();
  auto report = request.initReport();
  auto wire_results = report.initResults(results.size());
  std::vector<start_number> numbers;
  numbers.reserve(results.size());
  for (const task_result* result : results) {
    Encode(*result, wire_results[numbers.size()]);
    numbers.push_back(result->number);
  }
  const minion_status status = shared_.core.Status();
  Encode(status, report.initStatus());
  if (ShallSendConfig(schedule_.IsHeartbeatDue(now))) {
    Encode(shared_.core.config(), report.initConfig());
    entry_revision_ = shared_.core.config().revision;
    config_wanted_ = false;
  }
  schedule_.OnReport(now, status);
  ++reports_in_flight_;
  ++shared_.core.counters().reports;
  connection_->tasks.add(request.send().then(
      [this, serial = serial_, numbers = std::move(numbers)](auto&& response) {
        OnAcknowledged(serial, numbers,
                       std::chrono::milliseconds(response.getHeartbeatMs()),
                       std::chrono::milliseconds(response.getStatusMs()));
      }));
  if (session.has_unsent()) {
    ScheduleReport();
  }
}

void entry_link::OnAcknowledged(std::uint64_t serial,
                                const std::vector<start_number>& numbers,
                                std::chrono::milliseconds heartbeat,
                                std::chrono::milliseconds status_interval) {
  if (!Hear(serial)) {
    return;
  }
  schedule_.SetWantedStatusInterval(status_interval);
  schedule_.SetHeartbeat(heartbeat);
  shared_.core.SetHeartbeat(schedule_.heartbeat());
  --reports_in_flight_;
  entry_session& session = shared_.core.Session(entry_);
  session.Acknowledge(numbers);
  if (session.has_unsent()) {
    ScheduleReport();
  }
}

void entry_link::Tick() {
  if (!welcomed_ || dropping_) {
    return;
  }
  const steady_time now = shared_.time.Now();
  const agent_settings& settings = shared_.settings;
  if (shared_.core.HasGuardedRuns(entry_)) {
    const steady_time heard = shared_.core.Session(entry_).heard();
    if (now - heard > settings.run_silence) {
      Drop("silent while its tasks run");
      return;
    }
    if (now - std::max(heard, schedule_.reported()) >= settings.run_heartbeat) {
      ScheduleReport();
      return;
    }
  }
  if (schedule_.IsSilent(now)) {
    Drop("silent for three heartbeat intervals");
  } else if (schedule_.IsHeartbeatDue(now)) {
    ScheduleReport();
  }
}

kj::Promise<void> entry_link::Goodbye() {
  if (!welcomed_ || dropping_) {
    return kj::READY_NOW;
  }
  return connection_->session.goodbyeRequest().send().ignoreResult().catch_(
      [](kj::Exception&&) {});
}

void entry_link::taskFailed(kj::Exception&& failure) {
  Drop(failure.getDescription().cStr());
}

}  // namespace jayrill
